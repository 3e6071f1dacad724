// Package randomised runs randomised tests with a fixed seed, which a flag overrides.
package randomised

import (
	"flag"
	"testing"

	// Imported for the flags that it registers and Main sets.
	_ "pgregory.net/rapid"
)

// seed is the seed of a run for which -rapid.seed gives none.
const seed = "20261204"

// Main runs a package's tests and returns the exit code. checks, if not empty, is the
// number of runs of each randomised test. Flags on the command line take precedence.
func Main(m *testing.M, checks string) int {
	flag.Parse()
	setDefault("rapid.seed", seed)
	setDefault("rapid.nofailfile", "true")
	if checks != "" {
		setDefault("rapid.checks", checks)
	}
	return m.Run()
}

// setDefault sets a flag that still has the library's default value.
func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
