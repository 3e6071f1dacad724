package cmd

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestExplain(t *testing.T) {
	for _, output := range []string{"text", "json"} {
		t.Run(output, func(t *testing.T) {
			var out, errOut bytes.Buffer
			args := []string{"explain", "00000000000000aa", "testdata/gilgit-1.log", "testdata/thatta-1.log", "-o", output}
			if status := Main(args, &out, &errOut); status != exitOK {
				t.Fatalf("status %d: %s", status, errOut.String())
			}
			path := "testdata/explain-" + output + ".golden"
			if *update {
				if err := os.WriteFile(path, out.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), out.String()); diff != "" {
				t.Errorf("timeline (-want +got):\n%s", diff)
			}
		})
	}
}

// TestExplainNamesPairs guards against a job whose move nobody can explain: the lines about a pair
// name no job.
func TestExplainNamesPairs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gilgit-2.log")
	log := `time="2026-01-05T00:00:01.000Z" level=info msg=job-taken job=00000000000000ab pool=maps
time="2026-01-05T00:00:02.000Z" level=info msg=interference-found pool=maps serving=a best-effort=x
time="2026-01-05T00:00:02.500Z" level=info msg=interference-found pool=other serving=b best-effort=y
time="2026-01-05T00:00:03.000Z" level=info msg=interference-avoided pool=maps serving=a best-effort=x task=00000000000000ab.0.0.0 moved=true
`
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if status := Main([]string{"explain", "00000000000000ab", path}, &out, &errOut); status != exitOK {
		t.Fatalf("status %d: %s", status, errOut.String())
	}
	var events []string
	for line := range strings.Lines(out.String()) {
		events = append(events, strings.Fields(line)[2])
	}
	if diff := cmp.Diff([]string{"job-taken", "(interference-found)", "interference-avoided"}, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

func TestExplainUnknown(t *testing.T) {
	var out, errOut bytes.Buffer
	if status := Main([]string{"explain", "00000000000000ff", "testdata/gilgit-1.log"}, &out, &errOut); status != exitFailed {
		t.Errorf("status %d; want %d", status, exitFailed)
	}
	if want := "hornbeammast: no line tells of 00000000000000ff; give the logs of all entry hosts\n"; errOut.String() != want {
		t.Errorf("error %q; want %q", errOut.String(), want)
	}
}

// TestExplainShowsTheWaitForAShare guards against a job that waited for its organisation without a line
// that says so, and against lines of other organisations and pools.
func TestExplainShowsTheWaitForAShare(t *testing.T) {
	log := `time="2026-01-05T00:00:01.000Z" level=info msg=job-taken job=00000000000000aa pool=maps organisation=mill
time="2026-01-05T00:00:02.000Z" level=info msg=share-waits job=00000000000000ab pool=maps organisation=mill served=yard
time="2026-01-05T00:00:02.100Z" level=info msg=share-waits job=00000000000000ac pool=maps organisation=yard served=mill
time="2026-01-05T00:00:02.200Z" level=info msg=share-waits job=00000000000000ad pool=archive organisation=mill served=yard
time="2026-01-05T00:00:03.000Z" level=info msg=job-done job=00000000000000aa pool=maps
`
	path := filepath.Join(t.TempDir(), "a.log")
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if status := Main([]string{"explain", "00000000000000aa", path}, &out, &errOut); status != exitOK {
		t.Fatalf("status %d: %s", status, errOut.String())
	}
	if n := strings.Count(out.String(), "share-waits"); n != 1 || !strings.Contains(out.String(), `served="yard"`) {
		t.Errorf("%d lines of a wait for the share; want 1:\n%s", n, out.String())
	}
}
