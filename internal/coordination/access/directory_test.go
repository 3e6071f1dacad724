package access

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

func organisation(name string, keys ...string) queue.Organisation {
	o := queue.Organisation{Name: name}
	for _, key := range keys {
		o.Keys = append(o.Keys, queue.DigestKey(key))
	}
	return o
}

var configuration = &queue.Configuration{RequiresKeys: true, Organisations: []queue.Organisation{
	organisation("tiles-team", "k-1", "k-2", "shared"), organisation("routes-team", "k-3", "shared"), organisation("new-team"),
}}

// TestCaller guards against a call that passes without a valid key, and against one with a valid key
// that is refused or accounted to another organisation.
func TestCaller(t *testing.T) {
	for _, c := range []struct {
		name   string
		header []string
		want   string
		err    error
	}{
		{"first key", []string{"Token k-1"}, "tiles-team", nil},
		{"other organisation", []string{"Token k-3"}, "routes-team", nil},
		{"key of two", []string{"Token shared"}, "tiles-team", nil},
		{"scheme in lower case", []string{"token k-1"}, "tiles-team", nil},
		{"spaces", []string{"Token  k-1 "}, "tiles-team", nil},
		{"missing", nil, "", ErrNoKey},
		{"empty", []string{""}, "", ErrMalformedKey},
		{"empty key", []string{"Token  "}, "", ErrMalformedKey},
		{"other scheme", []string{"Bearer k-1"}, "", ErrMalformedKey},
		{"no scheme", []string{"k-1"}, "", ErrMalformedKey},
		{"tab", []string{"Token\tk-1"}, "", ErrMalformedKey},
		{"twice", []string{"Token k-1", "Token k-1"}, "", ErrRepeatedKey},
		{"two in one", []string{"Token k-1, Token k-3"}, "", ErrUnknownKey},
		{"unknown", []string{"Token k-4"}, "", ErrUnknownKey},
		{"key in other case", []string{"Token K-1"}, "", ErrUnknownKey},
	} {
		d := New(configuration)
		got, err := d.Caller(c.header, false)
		if got != c.want || !errors.Is(err, c.err) || (err != nil && (verdict.FromError(err).Verdict != verdict.NotRun || strings.Contains(err.Error(), "k-"))) {
			t.Errorf("%s: %q, %v; want %q, %v, not-run and without the key", c.name, got, err, c.want, c.err)
		}
		if got, err := d.Caller(c.header, true); got != c.want || err != nil {
			t.Errorf("%s, public: %q, %v; want %q", c.name, got, err, c.want)
		}
		if got, err := New(&queue.Configuration{Organisations: configuration.Organisations}).Caller(c.header, false); got != "" || err != nil {
			t.Errorf("%s, no keys required: %q, %v", c.name, got, err)
		}
	}
}

func BenchmarkCaller(b *testing.B) {
	c := &queue.Configuration{RequiresKeys: true}
	for n := range 200 {
		o := queue.Organisation{Name: fmt.Sprint("organisation-", n)}
		for k := range 10 {
			o.Keys = append(o.Keys, queue.DigestKey(fmt.Sprintf("%032d", 10*n+k)))
		}
		c.Organisations = append(c.Organisations, o)
	}
	d := New(c)
	for name, key := range map[string]string{"known": fmt.Sprintf("%032d", 1234), "unknown": strings.Repeat("x", 32)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = d.Caller([]string{Scheme + " " + key}, false)
			}
		})
	}
}
