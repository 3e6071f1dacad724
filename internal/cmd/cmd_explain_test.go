package cmd

import (
	"bytes"
	"flag"
	"os"
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

func TestExplainUnknown(t *testing.T) {
	var out, errOut bytes.Buffer
	if status := Main([]string{"explain", "00000000000000ff", "testdata/gilgit-1.log"}, &out, &errOut); status != exitFailed {
		t.Errorf("status %d; want %d", status, exitFailed)
	}
	if want := "hornbeammast: no line tells of 00000000000000ff; give the logs of all entry hosts\n"; errOut.String() != want {
		t.Errorf("error %q; want %q", errOut.String(), want)
	}
}
