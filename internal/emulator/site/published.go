package site

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/hornbeammast/hornbeammast/internal/protocol/keyedlog"
	"github.com/hornbeammast/hornbeammast/internal/protocol/machine"
	"github.com/hornbeammast/hornbeammast/internal/protocol/queue"
	"github.com/hornbeammast/hornbeammast/internal/protocol/worker"
)

const (
	keyConfig = "config"
	keyWave   = "wave/"
)

// recordCodec names the topics that the emulated platform publishes, and decodes and
// encodes their records.
type recordCodec struct{}

func (recordCodec) OperatorPartition() keyedlog.Partition {
	return keyedlog.Partition{Topic: "operators"}
}

func (recordCodec) WorkerPartition() keyedlog.Partition { return keyedlog.Partition{Topic: "hosts"} }

func (recordCodec) WaveStatusPartition() keyedlog.Partition {
	return keyedlog.Partition{Topic: "status"}
}

func (recordCodec) Configuration(r keyedlog.Record) (*queue.Configuration, error) {
	if r.Key != keyConfig {
		return nil, nil //nolint:nilnil // Nothing of this kind is no error.
	}
	c := &queue.Configuration{}
	return c, json.Unmarshal(r.Value, c)
}

// WithoutKeys returns the record unchanged: the emulated configurations hold digests.
func (recordCodec) WithoutKeys(r keyedlog.Record, _ *queue.Configuration) keyedlog.Record { return r }

func (recordCodec) Wave(r keyedlog.Record) (*machine.Wave, error) {
	if !strings.HasPrefix(r.Key, keyWave) {
		return nil, nil //nolint:nilnil // Nothing of this kind is no error.
	}
	w := &machine.Wave{}
	return w, json.Unmarshal(r.Value, w)
}

func (recordCodec) Report(r keyedlog.Record) (worker.Report, error) {
	var report worker.Report
	err := json.Unmarshal(r.Value, &report)
	return report, err
}

func (recordCodec) WaveStatus(number int64, done bool) (keyedlog.Record, error) {
	return keyedlog.Record{Key: keyWave + strconv.FormatInt(number, 10), Value: strconv.AppendBool(nil, done)}, nil
}
