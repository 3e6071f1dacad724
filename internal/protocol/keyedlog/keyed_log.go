// Package keyedlog defines the messages of a partitioned log that retains the newest
// record of each key and assigns partitions to the members of a group.
package keyedlog

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrTrimmed means that the requested records are no longer retained; the newest record
// of each key is.
var ErrTrimmed = errors.New("the requested records are no longer retained; read the newest record of each key")

// ErrFenced means that another owner has written to the partition with a higher epoch.
var ErrFenced = errors.New("fenced: another owner has written to this partition with a higher epoch")

// Record is an entry of the log. A record without a value deletes its key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the number of the record in its partition, from 0. The log sets it.
	Offset int64
}

// Partition identifies a partition of a topic.
type Partition struct {
	Topic  string
	Number int
}

// Producer identifies the appends of a partition's owner, so that the log refuses those
// of an earlier owner and detects a repeat of the last append.
type Producer struct {
	Name  string
	Epoch int64
	// Sequence is the number of the append in its epoch, from 0.
	Sequence int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// End is the offset after the last record of the partition.
	End int64
	// Unreadable is the number of entries that could not be decoded and were left out.
	Unreadable int
	// Next is the offset at which to continue.
	Next int64
}

// Page is a part of the newest records of all keys, in the order of their keys.
type Page struct {
	Records []Record
	// More is set if other keys follow.
	More bool
	// End is the offset after the last record of the partition.
	End int64
}

// Assignment is the set of partitions that a member of a group is assigned.
type Assignment struct {
	Generation int64
	Partitions []Partition
}

// Owner is the member of a group that owns a partition.
type Owner struct {
	Partition Partition
	Member    string
}

// JoinRequest joins a group or renews a membership.
type JoinRequest struct {
	Group      string
	Member     string
	Topics     []string
	TTL        time.Duration
	Generation int64
}

// SequenceError means that an append did not have the next sequence number of its epoch.
type SequenceError struct {
	// Expected is the sequence number that the log accepts next.
	Expected int64
}

// Error returns a message with the expected number.
func (e *SequenceError) Error() string {
	return "append out of sequence; the log expects number " + strconv.FormatInt(e.Expected, 10)
}

// Limits are the log's limits on appends, in bytes. 0 stands for no limit.
type Limits struct {
	// Record bounds one record, its key included, Call all records of an append.
	Record, Call int
}

// recordOverhead bounds what the log counts for a record beside its key and its value: their
// lengths.
const recordOverhead = 5

// Size returns the size of a record as Limits counts it.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Fits reports whether the log takes a record of this size.
func (l Limits) Fits(r *Record) bool { return l.Record == 0 || r.Size() <= l.Record }

// Split divides records into appends that the log takes, in order.
func (l Limits) Split(records []Record) [][]Record {
	var calls [][]Record
	begin, size := 0, 0
	for n := range records {
		if s := records[n].Size(); n > begin && l.Call > 0 && size+s > l.Call {
			calls = append(calls, records[begin:n])
			begin, size = n, 0
		}
		size += records[n].Size()
	}
	return append(calls, records[begin:])
}
