package jobhost

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

// jsonCodec reads reports that are plain JSON.
type jsonCodec struct{ RecordCodec }

func (jsonCodec) Report(record keyedlog.Record) (worker.Report, error) {
	report := worker.Report{ID: worker.ID(record.Key)}
	err := json.Unmarshal(record.Value, &report)
	report.ID = worker.ID(record.Key)
	return report, err
}

// countEvents counts events by name.
type countEvents map[string]int

func (c countEvents) Event(name string, _ ...any) { c[name]++ }

// Configuration reads a configuration that is plain JSON.
func (jsonCodec) Configuration(record keyedlog.Record) (*queue.Configuration, error) {
	c := &queue.Configuration{}
	return c, json.Unmarshal(record.Value, c)
}

func (jsonCodec) WithoutKeys(record keyedlog.Record, _ *queue.Configuration) keyedlog.Record {
	record.Value = []byte("without keys")
	return record
}

// TestVersionsAndTheirKeys guards against problems that are logged again for one version, against keys
// of another version than the configuration, and against a record with keys that is kept.
func TestVersionsAndTheirKeys(t *testing.T) {
	events := countEvents{}
	v := &operatorsView{codec: jsonCodec{}, events: events, onChange: func() {}, pools: map[string]map[string]struct{}{}}
	for _, version := range []int64{1, 1, 3, 2, 3} {
		key := fmt.Sprint("k-", version)
		c := queue.Configuration{Version: version, RequiresKeys: true, Problems: []string{"one", "two"}}
		c.Organisations = []queue.Organisation{{Name: "one", Keys: []queue.KeyDigest{queue.DigestKey(key)}}}
		value, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		v.apply([]keyedlog.Record{{Key: "config", Value: value}})
		_, err = v.inForce.Load().Caller([]string{"Token " + key}, false)
		if newest := v.config().Version; (err == nil) != (newest == version) {
			t.Errorf("key of version %d while %d is in force: %v", version, newest, err)
		}
	}
	want := countEvents{"config-in-force": 2, "keys-in-force": 2, "config-problem": 4}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if _, kept := v.recordAbove(2); string(kept.Value) != "without keys" {
		t.Errorf("the record for peers is %s", kept.Value)
	}
}

func newTestView() (*hostsView, countEvents) {
	events := countEvents{}
	return &hostsView{
		codec: jsonCodec{}, events: events, onChange: func() {}, hosts: map[worker.ID]worker.Report{}, unreadable: map[worker.ID]struct{}{},
	}, events
}

func reportRecord(t *testing.T, id worker.ID) keyedlog.Record {
	t.Helper()
	value, err := json.Marshal(worker.Report{Pool: "maps", Address: netip.MustParseAddrPort("10.0.0.1:80"), Capacity: worker.Resources{CPU: 1000, MemoryMB: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	return keyedlog.Record{Key: string(id), Value: value}
}

func (v *hostsView) names() map[worker.ID]bool {
	names := map[worker.ID]bool{}
	for _, r := range v.inPool("maps") {
		names[r.ID] = true
	}
	return names
}

// TestOddEntriesHoldUpNoOthers guards against a reader that stops at an odd entry, lists it as a host, or
// keeps the host that was there before; each such entry is logged once.
func TestOddEntriesHoldUpNoOthers(t *testing.T) {
	v, events := newTestView()
	v.apply([]keyedlog.Record{reportRecord(t, "h1"), reportRecord(t, "h2")})
	odd := []keyedlog.Record{
		{Key: "h2", Value: []byte(strings.Repeat("[", 120_000))},
		{Key: "odd", Value: []byte(`{"Pool":"maps","Address":"10.0.0.1:0"}`)},
		{Key: "negative", Value: []byte(`{"Pool":"maps","Address":"10.0.0.1:80","Capacity":{"CPU":-1}}`)},
		{Key: "bad\nkey", Value: reportRecord(t, "").Value},
	}
	for range 3 {
		v.apply(append(odd, reportRecord(t, "h3")))
	}
	if diff := cmp.Diff(map[worker.ID]bool{"h1": true, "h3": true}, v.names()); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(countEvents{"report-unreadable": len(odd)}, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	v.apply([]keyedlog.Record{reportRecord(t, "h2")})
	if !v.names()["h2"] {
		t.Error("a host whose entry can be read again is not listed")
	}
	var many []keyedlog.Record
	for n := range 2 * maxUnreadable {
		many = append(many, keyedlog.Record{Key: fmt.Sprintf("odd-%d", n), Value: []byte("x")})
	}
	v.apply(many)
	if events["report-unreadable"] > maxUnreadable+1 {
		t.Errorf("%d lines about odd entries; want at most %d", events["report-unreadable"], maxUnreadable+1)
	}
}

// FuzzReader checks that the reader goes on to the next entry, whatever one holds.
func FuzzReader(f *testing.F) {
	f.Add("odd", []byte(`{"Pool":"maps","Address":"10.0.0.1:0"}`))
	f.Add("", []byte("null"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		v, _ := newTestView()
		v.apply([]keyedlog.Record{reportRecord(t, "h1"), {Key: key, Value: value}, reportRecord(t, "h2")})
		if names := v.names(); (key != "h1" && !names["h1"]) || !names["h2"] {
			t.Errorf("entry %q %q hides others: %v", key, value, names)
		}
	})
}
