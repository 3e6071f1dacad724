package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/standin"
)

// BenchmarkClaim claims at a constant rate for two seconds, at several rates and
// batch delays. A call to the log takes 3 ms.
func BenchmarkClaim(b *testing.B) {
	const span = 2 * time.Second
	for _, rate := range []int{100, 500, 2000} {
		for _, wait := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 80 * time.Millisecond} {
			b.Run(fmt.Sprintf("rate=%d/wait=%s", rate, wait), func(b *testing.B) {
				for b.Loop() {
					claimAtRate(b, rate, wait, span)
				}
			})
		}
	}
}

func claimAtRate(b *testing.B, rate int, wait, span time.Duration) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := standin.NewMemoryLog(3 * time.Millisecond)
	net := &network{random: rand.New(rand.NewPCG(1, 1)), hosts: map[string]*Claimer{}, names: []string{"e0"}}
	claimer := New(ctx, log, net, net, "e0", "1", WithBatchDelay(wait))
	var mu sync.Mutex
	var callers sync.WaitGroup
	times := []time.Duration{}
	began := time.Now()
	for n := range int(float64(rate) * span.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		callers.Add(1)
		go func() {
			defer callers.Done()
			asked := time.Now()
			handle, result, err := claimer.Claim(ctx, KeyOf("t", fmt.Sprint(n)), asked)
			if err != nil || result.Status != Won {
				b.Error(result, err)
				return
			}
			mu.Lock()
			times = append(times, time.Since(asked))
			mu.Unlock()
			handle.MarkDone()
		}()
	}
	callers.Wait()
	took := time.Since(began)
	slices.Sort(times)
	b.ReportMetric(float64(log.Log().Appends())/took.Seconds(), "appends/s")
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkHeld folds claims and reports the time, the memory and the log bytes of
// one claim.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 300_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := newTable()
				batch := &wire.ClaimBatch{}
				began := time.Now()
				for i := range n {
					key, id := KeyOf("t", fmt.Sprint(i)), KeyOf("id", fmt.Sprint(i))
					c := &wire.Claim{Key: key[:], ClaimId: id[:], Claimant: "gilgit-1", Incarnation: "5f0c4c5e-2f5b-4c7d-9a53-1d1f6f3c8c11", Step: wire.ClaimStep_CLAIM_STEP_ASK, IssuedUnixMs: int64(i)}
					t.apply(c)
					if i < 512 {
						batch.Claims = append(batch.Claims, c)
					}
				}
				b.ReportMetric(float64(time.Since(began).Nanoseconds())/float64(n), "ns/claim")
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/claim")
				b.ReportMetric(float64(proto.Size(batch))/512, "log-B/claim")
				runtime.KeepAlive(t)
			}
		})
	}
}
