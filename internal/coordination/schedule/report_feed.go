package schedule

import (
	"sync"
	"time"
)

// ReportFeed tells whether the hosts' reports are current: every change up to a recent time
// has been reported and read. Hosts can't report while the log is unavailable.
type ReportFeed struct {
	limits Limits

	mu sync.Mutex
	// upSince is since when the log has taken reads without interruption, takenAt when it took
	// the last one that it answered. An answer that waited for a record may come in an outage.
	upSince, takenAt time.Time
	refused          bool
	// knownUntil is the time up to which all changes of the hosts are known.
	knownUntil time.Time
}

// NewReportFeed creates a feed that has seen no report.
func NewReportFeed(limits Limits) *ReportFeed { return &ReportFeed{limits: limits} }

// LogRefused records that the log has refused a read.
func (f *ReportFeed) LogRefused() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = true
}

// LogAnswered records that the log has answered a read that was sent at a time.
func (f *ReportFeed) LogAnswered(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logAnswered(sent)
}

func (f *ReportFeed) logAnswered(sent time.Time) {
	if f.refused || sent.Sub(f.takenAt) > maxReadGap {
		f.upSince, f.refused = sent, false
	}
	f.takenAt = later(f.takenAt, sent)
}

// ReportsRead records that all reports in the log at a time have been read by a read that was
// sent at sent.
func (f *ReportFeed) ReportsRead(sent, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logAnswered(sent)
	if known := at.Add(-f.limits.settleTime()); !known.Before(f.upSince) {
		f.knownUntil = later(f.knownUntil, known)
	}
}

// Current reports whether the reports are current.
func (f *ReportFeed) Current(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.knownUntil) <= f.limits.ContactTime+f.limits.ReportInterval-orderSlack
}

// settleTime returns how long after a change or an interruption every host has reported.
func (l *Limits) settleTime() time.Duration { return l.ReportInterval + reportSlack }

const (
	// reportSlack covers the way of a report through the log.
	reportSlack = 500 * time.Millisecond
	// orderSlack covers the way of an order that depends on a report.
	orderSlack = 750 * time.Millisecond
	// maxReadGap is the longest time between two reads that an available log takes. Reads wait
	// for a record for at most a second.
	maxReadGap = 1500 * time.Millisecond
)
