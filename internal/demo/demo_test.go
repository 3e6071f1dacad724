package demo

import (
	"bytes"
	"io"
	"testing"
)

// TestDemo runs the demonstration as the demo command does.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	if err := Run(&out, io.Discard); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}
