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

// fixture holds a platform, workers and one entry host.
type fixture struct {
	tb      testing.TB
	http    *httpconn.Client
	workers []*standin.Worker
	entry   *EntryHost
}

func newFixture(tb testing.TB, workers, slots, maxHeld int) *fixture {
	tb.Helper()
	platform, err := standin.StartPlatform(anyPort, standin.WithLiveListLag(50*time.Millisecond))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(platform.Close)
	f := &fixture{tb: tb}
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
		f.workers = append(f.workers, w)
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
	if f.entry, err = Start(s, events); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(f.entry.Kill)
	if f.http, err = httpconn.New(httpconn.WithMaxConns(4096)); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(f.http.Close)
	f.configure(document)
	return f
}

func (f *fixture) configure(document fleet.Document) {
	f.tb.Helper()
	body, err := json.Marshal(document)
	if err != nil {
		f.tb.Fatal(err)
	}
	answer, err := f.do(f.entry.OperatorAddress(), httpconn.Request{Method: "POST", Path: "/config/patch?format=merge-patch&base=0", Body: body})
	if err != nil || answer.Status != http.StatusOK {
		f.tb.Fatal(string(answer.Body), err)
	}
	for {
		answer, err := f.request("")
		if err == nil && answer.Status == http.StatusOK {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fixture) do(address netip.AddrPort, r httpconn.Request) (httpconn.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return f.http.Do(ctx, address, r)
}

func (f *fixture) request(query string) (httpconn.Answer, error) {
	header := http.Header{}
	header.Set(caller.HeaderKind, "k")
	return f.do(f.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w?" + query, Header: header, Body: []byte("x")})
}

// TestOperatorUnderFlood fills the entry host with as many requests as it may hold.
// It guards against a further request that is accepted and against an operators'
// port that no longer answers.
func TestOperatorUnderFlood(t *testing.T) {
	const held = 1500
	f := newFixture(t, 1, 4, held)
	var callers sync.WaitGroup
	for range held {
		callers.Add(1)
		go func() {
			defer callers.Done()
			_, _ = f.request("run-ms=60000")
		}()
	}
	for f.entry.callers.Held() < held {
		time.Sleep(time.Millisecond)
	}
	answer, err := f.request("")
	if err != nil || answer.Header.Get(caller.HeaderVerdict) != "not-run" || answer.Header.Get(caller.HeaderCause) != "overloaded" {
		t.Errorf("the request above the limit got status %d, header %v, error %v; want not-run, overloaded", answer.Status, answer.Header, err)
	}
	var status operatorapi.Status
	answer, err = f.do(f.entry.OperatorAddress(), httpconn.Request{Method: "GET", Path: "/status"})
	if err != nil || json.Unmarshal(answer.Body, &status) != nil || status.Version != 1 {
		t.Errorf("the operators' port answered with status %d, body %s, error %v", answer.Status, answer.Body, err)
	}
	f.http.Close()
	callers.Wait()
}

// TestCallerGone guards against requests that stay in the queue after their callers
// have disconnected.
func TestCallerGone(t *testing.T) {
	f := newFixture(t, 1, 1, 500)
	client, err := httpconn.New(httpconn.WithMaxConns(4096))
	if err != nil {
		t.Fatal(err)
	}
	header := http.Header{}
	header.Set(caller.HeaderKind, "k")
	for range 100 {
		go func() {
			_, _ = client.Do(context.Background(), f.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w?run-ms=2000", Header: header})
		}()
	}
	for f.entry.callers.Held() < 100 {
		time.Sleep(time.Millisecond)
	}
	client.Close()
	for f.entry.callers.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
	for _, row := range f.entry.dispatcher.QueueStats()["p"] {
		if row.Queued != 0 {
			t.Errorf("the queue is not empty after all callers have disconnected: %+v", row)
		}
	}
}

// TestInvalidRequests guards against an invalid request that is refused with a wrong
// verdict or cause.
func TestInvalidRequests(t *testing.T) {
	f := newFixture(t, 1, 4, 100)
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
		answer, err := f.do(f.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w", Header: header})
		want := map[bool]string{true: "may-have-run", false: "not-run"}[test.cause == "id-too-old"]
		if err != nil || answer.Header.Get(caller.HeaderCause) != test.cause || answer.Header.Get(caller.HeaderVerdict) != want {
			t.Errorf("%s: got status %d, header %v, error %v", name, answer.Status, answer.Header, err)
		}
	}
}

// BenchmarkEndToEnd compares the rate and the latency of requests through an entry
// host with those of requests sent directly to the workers. All run in one process
// and share its cores.
func BenchmarkEndToEnd(b *testing.B) {
	const senders, span = 48, 3 * time.Second
	f := newFixture(b, 4, 64, 5000)
	header := http.Header{}
	header.Set(caller.HeaderKind, "k")
	direct := func(n int) error {
		_, err := f.do(f.workers[n%4].Address(), httpconn.Request{Method: "POST", Path: "/w", Body: []byte("x")})
		return err
	}
	through := func(int) error {
		_, err := f.do(f.entry.CallerAddress(), httpconn.Request{Method: "POST", Path: "/w", Header: header, Body: []byte("x")})
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

// load sends requests from a number of concurrent senders for a span of time, at the
// given total rate or, if it is 0, as fast as they can. It returns the requests per
// second and the sorted latencies.
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
