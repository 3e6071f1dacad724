package demo

import (
	"bytes"
	"io"
	"testing"
)

// TestDemo runs what a newcomer runs.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := Run(&out, io.Discard); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}
