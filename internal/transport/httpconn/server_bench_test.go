package httpconn

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

// BenchmarkRequest compares an ordinary request to the server with one to nbhttp's, which served
// before. Both are sent by net/http's client.
func BenchmarkRequest(b *testing.B) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("{}"))
	}
	server, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), http.HandlerFunc(handler), Limits{MaxBody: 1 << 20, MaxConns: 1000})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	for name, address := range map[string]string{
		"nbhttp": listenOnEngine(b, handler).Addrs[0], "guarded": server.Address().String(),
	} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			body := strings.Repeat("x", 2000)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					answer, err := client.Post("http://"+address+"/", "application/json", strings.NewReader(body))
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, answer.Body)
					_ = answer.Body.Close()
				}
			})
		})
	}
}
