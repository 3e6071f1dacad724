package jobhost

import (
	"strconv"
	"strings"

	"github.com/hornbeammast/hornbeammast/internal/coordination/schedule"
	"github.com/hornbeammast/hornbeammast/internal/protocol/job"
	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/state/jobs"
)

func withPrefix(records []keyedlog.Record, prefix string) []keyedlog.Record {
	var found []keyedlog.Record
	for _, record := range records {
		if strings.HasPrefix(record.Key, prefix) {
			found = append(found, record)
		}
	}
	return found
}

// progressKey returns the key of a part of a job's progress.
func progressKey(id job.ID, part int) string {
	if part == 0 {
		return keyProgress + string(id)
	}
	return keyProgress + string(id) + "/" + strconv.Itoa(part)
}

// parseKey returns the prefix of a record's key, with the job and the part of its progress.
func parseKey(key string) (prefix string, id job.ID, part int) {
	prefix, rest, ok := strings.Cut(key, "/")
	if !ok {
		return "", "", 0
	}
	name, number, divided := strings.Cut(rest, "/")
	if divided && prefix+"/" != keyRevocation {
		n, err := strconv.Atoi(number)
		if err != nil || n < 1 || prefix+"/" != keyProgress {
			return "", "", 0
		}
		part = n
	}
	return prefix + "/", job.ID(name), part
}

func progressRecords(id job.ID, parts []jobs.Part) []keyedlog.Record {
	records := make([]keyedlog.Record, 0, len(parts))
	for _, part := range parts {
		records = append(records, keyedlog.Record{Key: progressKey(id, part.Number), Value: part.Data})
	}
	return records
}

func dropRecords(gone []schedule.Forgotten) []keyedlog.Record {
	records := make([]keyedlog.Record, 0, 3*len(gone))
	for _, g := range gone {
		records = append(records, keyedlog.Record{Key: keyJob + string(g.ID)}, keyedlog.Record{Key: keyCancel + string(g.ID)})
		for _, part := range g.Parts {
			records = append(records, keyedlog.Record{Key: progressKey(g.ID, part)})
		}
	}
	return records
}
