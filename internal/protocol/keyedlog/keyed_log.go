// Package keyedlog holds the messages of a partitioned log that keeps the newest
// record of each key, and deals partitions to the members of a group.
package keyedlog

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTrimmed means that records which were asked for are no longer kept; the
// newest of each key are.
var ErrTrimmed = errors.New("records before the first kept one were asked for; read the newest of each key")

// ErrFenced means that another owner has written with a higher epoch.
var ErrFenced = errors.New("another owner writes to this partition")

// Record is one entry. An entry without a value drops its key.
type Record struct {
	Key   string
	Value []byte
	// Offset numbers the entries of a partition from 0; set by the log.
	Offset int64
}

// Partition names a part of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Producer marks the appends of a partition's owner, so that those of an earlier
// owner are refused and a repeat of the last one is not done twice.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence counts the appends of one epoch from 0.
	Sequence int64
}

// Batch is what a read gives.
type Batch struct {
	Records []Record
	// End is the offset after the last record of the partition.
	End int64
	// Unreadable counts the entries that were no records and were left out.
	Unreadable int
	// Next is the offset to read from next.
	Next int64
}

// Membership is a member's share of a group.
type Membership struct {
	Generation int64
	Partitions []Partition
}

// Owner tells which member holds a partition.
type Owner struct {
	Partition Partition
	Member    string
}

// JoinRequest joins a group, or keeps the member in it.
type JoinRequest struct {
	Group      string
	Member     string
	Topics     []string
	TTL        time.Duration
	Generation int64
}

// SequenceError means that an append did not follow the last one of its epoch.
type SequenceError struct {
	// Expected is the sequence number that is taken next.
	Expected int64
}

// Error says which number is expected.
func (e *SequenceError) Error() string {
	return "the append is out of sequence; go on with number " + strconv.FormatInt(e.Expected, 10)
}
