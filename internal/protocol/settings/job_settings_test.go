package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

const validJobSettings = `{
  "name": "e", "data-centre": "d",
  "caller-address": "127.0.0.1:1", "health-address": "127.0.0.1:2", "peer-address": "127.0.0.1:3",
  "platform": {"log-address": "127.0.0.1:4", "partitions": 8},
  %s
}`

// TestInterferenceSetting guards against a mode that is on without being asked for, and against a
// misspelt one that is taken for off.
func TestInterferenceSetting(t *testing.T) {
	for extra, want := range map[string]string{
		"": InterferenceOff, `"interference": "avoid",`: InterferenceAvoid, `"interference": "on",`: "",
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, fmt.Appendf(nil, validJobSettings, extra), 0o600); err != nil {
			t.Fatal(err)
		}
		if loaded, err := LoadJobSettings(path); loaded.Interference != want && err == nil || (err == nil) != (want != "") {
			t.Errorf("%s: %q, %v; want %q", extra, loaded.Interference, err, want)
		}
	}
}
