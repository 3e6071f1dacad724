package candidacy

import (
	"testing"
	"time"
)

func TestHandOver(t *testing.T) {
	began := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	o := HandOver{Began: began, Last: began.Add(4 * time.Second), TTL: 1200 * time.Millisecond}
	other := []Owner{{Member: "b"}}
	for name, c := range map[string]struct {
		after, readAfter time.Duration
		owners           []Owner
		want             bool
	}{
		"waits while nobody else owns":                   {after: 2 * time.Second, readAfter: 2 * time.Second},
		"waits while the other may have gone":            {after: time.Second, readAfter: time.Second, owners: other},
		"waits with a list from before the shutdown":     {after: 2 * time.Second, readAfter: -time.Second, owners: other},
		"is due once another owner is still listed":      {after: 2 * time.Second, readAfter: 1300 * time.Millisecond, owners: other, want: true},
		"is due before the process exits, without other": {after: 4 * time.Second, readAfter: 4 * time.Second, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			view := View{ReadAt: began.Add(c.readAfter), Owners: c.owners}
			if got := o.Due(view, began.Add(c.after)); got != c.want {
				t.Errorf("due is %t; want %t", got, c.want)
			}
		})
	}
}
