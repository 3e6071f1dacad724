package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validSettings = `{
  // A comment.
  "name": "e", "data-centre": "d",
  "caller-address": "127.0.0.1:1", "operator-address": "127.0.0.1:2",
  "peer-address": "127.0.0.1:3", "platform-address": "127.0.0.1:4",
%s}`

// TestParseErrors checks the messages that operators see for invalid settings.
func TestParseErrors(t *testing.T) {
	for extra, want := range map[string]string{
		`"nam": 1`:                              `line 6, column 1: unknown key "nam"; see the settings page for the known ones`,
		"  \"limits\": {\n    \"max-body\": 1}": `line 7, column 5: unknown key "max-body"; see the settings page for the known ones`,
		`"claims": {"window": "40m"}`:           `claims: window must be at most half of log retention less max-timeout, here 20m0s`,
		`"members": {"removal-bound": "1s"}`:    `members: removal-bound must be at least twice isolation-bound`,
		`"limits": {"max-headers": -1}`:         `limits: max-headers must be above 0`,
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, "%s", extra, 1)))
		if err == nil {
			t.Errorf("%s was accepted", extra)
			continue
		}
		if diff := cmp.Diff(want, err.Error()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", extra, diff)
		}
	}
}

// TestLoadExamples loads the sample settings.
func TestLoadExamples(t *testing.T) {
	paths, err := filepath.Glob("../../../examples/*/*-[0-9].json")
	if err != nil || len(paths) == 0 {
		t.Fatal("no examples", err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(strings.Replace(validSettings, "%s", "", 1)))
	f.Add([]byte(`{"name": /* open`))
	paths, _ := filepath.Glob("../../../examples/*/*-[0-9].json")
	for _, path := range paths {
		if data, err := os.ReadFile(path); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse(data); err == nil && s.Validate() != nil {
			t.Error("Parse accepted invalid settings")
		}
	})
}
