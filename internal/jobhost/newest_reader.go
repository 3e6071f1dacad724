package jobhost

import (
	"context"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
)

const (
	// minPageTimeout and maxPageTimeout bound the reading of one page. A page that gets no answer is given
	// more time when it is read again, since the link may be slow; but so little that a configuration is in
	// force within the required three seconds after an outage.
	minPageTimeout = readWait + readSlack
	maxPageTimeout = 2 * time.Second
)

// newestReader reads the newest record of each key of a partition, page by page. After an error, the next
// read goes on with the page that failed.
type newestReader struct {
	log       Log
	partition keyedlog.Partition

	batch keyedlog.Batch
	pages int
	// unanswered is how many times the next page was asked for without an answer.
	unanswered int
}

// read returns the newest record of each key, and the offset from which to read on.
func (r *newestReader) read(ctx context.Context) (keyedlog.Batch, error) {
	for {
		page, err := r.readPage(ctx)
		if err != nil {
			return keyedlog.Batch{}, err
		}
		if r.pages == 0 {
			// The pages are not a consistent snapshot: all that has changed since the first one has to be
			// read again.
			r.batch.Next, r.batch.End = page.End, page.End
		}
		r.batch.Records = append(r.batch.Records, page.Records...)
		r.pages++
		if !page.More || len(page.Records) == 0 {
			batch := r.batch
			r.batch, r.pages = keyedlog.Batch{}, 0
			return batch, nil
		}
	}
}

// pageTimeout returns the time for a call after so many without an answer.
func pageTimeout(unanswered int) time.Duration {
	if unanswered == 0 {
		return minPageTimeout
	}
	return maxPageTimeout
}

func (r *newestReader) readPage(ctx context.Context) (keyedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout(r.unanswered))
	defer cancel()
	after := ""
	if n := len(r.batch.Records); n > 0 {
		after = r.batch.Records[n-1].Key
	}
	page, err := r.log.Newest(ctx, r.partition, after)
	switch {
	case err == nil:
		r.unanswered = 0
	case verdict.FromError(err).Verdict != verdict.NotRun:
		r.unanswered++
	}
	return page, err
}
