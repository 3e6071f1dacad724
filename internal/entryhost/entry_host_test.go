package entryhost

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/eventlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/fleet"
	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/settings"
	"github.com/hornbeammast/hornbeammast/internal/standin"
	"github.com/hornbeammast/hornbeammast/internal/transport/caller"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// bench is a platform, workers and one entry host.
type bench struct {
	tb      testing.TB
	http    *httpconn.Client
	workers []*standin.Worker
	entry   *EntryHost
}

func newBench(tb testing.TB, workers, slots, maxHeld int) *bench {
	tb.Helper()
	platform, err := standin.StartPlatform(anyPort, standin.WithLag(50*time.Millisecond))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(platform.Close)
	b := &bench{tb: tb}
	document := fleet.Document{
		Pools: map[string]fleet.Pool{"p": {}}, Hosts: map[string]fleet.Host{},
		Kinds: map[string]fleet.Kind{"k": {Pools: []string{"p"}, MaxQueue: maxHeld, Guarantee: 1}},
	}
	for n := range workers {
		w, err := standin.StartWorker(fmt.Sprintf("w%d", n), anyPort, slots)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(w.Close)
		platform.AddWorker(w)
		b.workers = append(b.workers, w)
		document.Hosts[w.Name()] = fleet.Host{DataCentre: "d", Rack: "r", Address: w.Address(), Pool: "p", Slots: slots}
	}
	events, err := eventlog.New(io.Discard, "error")
	if err != nil {
		tb.Fatal(err)
	}
	s := settings.Default()
	s.Name, s.DataCentre = "e", "d"
	s.CallerAddress, s.OperatorAddress, s.PeerAddress, s.PlatformAddress = anyPort, anyPort, anyPort, platform.Address()
	s.Limits.MaxHeldRequests = maxHeld
	s.Limits.UpstreamConns = slots
	if b.entry, err = Start(s, events); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.entry.Kill)
	if b.http, err = httpconn.New(httpconn.WithMaxConns(4096)); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(b.http.Close)
	b.configure(document)
	return b
}

func (b *bench) configure(document fleet.Document) {
	b.tb.Helper()
	body, err := json.Marshal(document)
	if err != nil {
		b.tb.Fatal(err)
	}
	answer, err := b.do(b.entry.OperatorAddress(), httpconn.Request{Method: "POST", Path: "/config/patch?format=merge-patch&base=0", Body: body})
	if err != nil || answer.Status != http.StatusOK {
		b.tb.Fatal(string(answer.Body), err)
	}
	for {
		answer, err := b.request("")
		if err == nil && answer.Status == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *bench) do(address netip.AddrPort, r httpconn.Request) (httpconn.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return b.http.Do(ctx, address, r)
}

func (b *bench) request(query string) (httpconn.Answer, error) {
	header := http.Header{}
	header.Set(caller.HeaderKind, "k")
	return b.do(b.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w?" + query, Header: header, Body: []byte("x")})
}

// TestOperatorUnderFlood holds as many requests as the entry host may: the
// next is refused as not run, and the operators' port still answers.
func TestOperatorUnderFlood(t *testing.T) {
	const held = 1500
	b := newBench(t, 1, 4, held)
	var callers sync.WaitGroup
	for range held {
		callers.Add(1)
		go func() {
			defer callers.Done()
			_, _ = b.request("run-ms=60000")
		}()
	}
	for b.entry.callers.Held() < held {
		time.Sleep(time.Millisecond)
	}
	answer, err := b.request("")
	if err != nil || answer.Header.Get(caller.HeaderVerdict) != "not-run" || answer.Header.Get(caller.HeaderCause) != "overloaded" {
		t.Errorf("one request too many got %d %v %v", answer.Status, answer.Header, err)
	}
	var status operatorapi.Status
	answer, err = b.do(b.entry.OperatorAddress(), httpconn.Request{Method: "GET", Path: "/status"})
	if err != nil || json.Unmarshal(answer.Body, &status) != nil || status.Version != 1 {
		t.Errorf("the operators' port: %d %s %v", answer.Status, answer.Body, err)
	}
	b.http.Close()
	callers.Wait()
}

// TestCallerGone lets callers of queued requests go away: they leave the queue.
func TestCallerGone(t *testing.T) {
	b := newBench(t, 1, 1, 500)
	impatient, err := httpconn.New(httpconn.WithMaxConns(4096))
	if err != nil {
		t.Fatal(err)
	}
	header := http.Header{}
	header.Set(caller.HeaderKind, "k")
	for range 100 {
		go func() {
			_, _ = impatient.Do(context.Background(), b.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w?run-ms=2000", Header: header})
		}()
	}
	for b.entry.callers.Held() < 100 {
		time.Sleep(time.Millisecond)
	}
	impatient.Close()
	for b.entry.callers.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
	for _, row := range b.entry.dispatcher.QueueStats()["p"] {
		if row.Queued != 0 {
			t.Errorf("%+v after all callers have gone", row)
		}
	}
}

// TestLimits refuses what is over a limit, truly and with its cause.
func TestLimits(t *testing.T) {
	b := newBench(t, 1, 4, 100)
	for name, test := range map[string]struct {
		header map[string]string
		cause  string
	}{
		"no kind":        {nil, "bad-request"},
		"unknown kind":   {map[string]string{caller.HeaderKind: "x"}, "unknown-kind"},
		"bad timeout":    {map[string]string{caller.HeaderKind: "k", caller.HeaderTimeout: "soon"}, "bad-request"},
		"long timeout":   {map[string]string{caller.HeaderKind: "k", caller.HeaderTimeout: "24h"}, "bad-request"},
		"no id":          {map[string]string{caller.HeaderKind: "k", caller.HeaderIdempotent: "false"}, "id-required"},
		"timeless id":    {map[string]string{caller.HeaderKind: "k", caller.HeaderIdempotent: "false", caller.HeaderRequestID: "x"}, "id-required"},
		"id from future": {map[string]string{caller.HeaderKind: "k", caller.HeaderIdempotent: "false", caller.HeaderRequestID: "9999999999999-x"}, "id-in-future"},
		"id too old":     {map[string]string{caller.HeaderKind: "k", caller.HeaderIdempotent: "false", caller.HeaderRequestID: "1000-x"}, "id-too-old"},
	} {
		header := http.Header{}
		for key, value := range test.header {
			header.Set(key, value)
		}
		answer, err := b.do(b.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w", Header: header})
		want := map[bool]string{true: "may-have-run", false: "not-run"}[test.cause == "id-too-old"]
		if err != nil || answer.Header.Get(caller.HeaderCause) != test.cause || answer.Header.Get(caller.HeaderVerdict) != want {
			t.Errorf("%s: %d %v %v", name, answer.Status, answer.Header, err)
		}
	}
}

// BenchmarkEndToEnd compares requests through an entry host with requests sent
// straight to the workers, in the same process and on the same cores.
func BenchmarkEndToEnd(b *testing.B) {
	const senders, span = 48, 3 * time.Second
	bench := newBench(b, 4, 64, 5000)
	header := http.Header{}
	header.Set(caller.HeaderKind, "k")
	direct := func(n int) error {
		_, err := bench.do(bench.workers[n%4].Address(), httpconn.Request{Method: "POST", Path: "/w", Body: []byte("x")})
		return err
	}
	through := func(int) error {
		_, err := bench.do(bench.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w", Header: header, Body: []byte("x")})
		return err
	}
	for b.Loop() {
		directRate, _ := load(b, senders, span, 0, direct)
		rate, _ := load(b, senders, span, 0, through)
		_, directTimes := load(b, senders, span, rate/2, direct)
		_, times := load(b, senders, span, rate/2, through)
		b.ReportMetric(directRate, "direct-req/s")
		b.ReportMetric(rate, "through-req/s")
		b.ReportMetric(rate/directRate, "ratio")
		for _, q := range []int{50, 99} {
			at := func(times []time.Duration) time.Duration { return times[len(times)*q/100] }
			b.ReportMetric(float64((at(times) - at(directTimes)).Microseconds()), fmt.Sprintf("added-p%d-us", q))
		}
	}
}

// load sends requests from a number of senders, at a total rate if it is above 0.
func load(b *testing.B, senders int, span time.Duration, rate float64, send func(int) error) (float64, []time.Duration) {
	b.Helper()
	var mu sync.Mutex
	all := []time.Duration{}
	var wait sync.WaitGroup
	began := time.Now()
	for n := range senders {
		wait.Add(1)
		go func() {
			defer wait.Done()
			times := []time.Duration{}
			for i := 0; time.Since(began) < span; i++ {
				if rate > 0 {
					due := began.Add(time.Duration(float64(i*senders+n) / rate * float64(time.Second)))
					time.Sleep(time.Until(due))
				}
				sent := time.Now()
				if err := send(n + i); err != nil {
					b.Error(err)
					return
				}
				times = append(times, time.Since(sent))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, times...)
		}()
	}
	wait.Wait()
	slices.Sort(all)
	return float64(len(all)) / span.Seconds(), all
}
