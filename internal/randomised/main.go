// Package randomised fixes the seed of randomised tests; flags ask for others.
package randomised

import (
	"flag"
	"testing"

	// The library registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// seed is that of each run for which none is asked.
const seed = "20261204"

// Main runs a package's tests. checks, if not empty, is how many runs each
// randomised test makes; -rapid.seed and -rapid.checks go before.
func Main(m *testing.M, checks string) int {
	flag.Parse()
	setDefault("rapid.seed", seed)
	setDefault("rapid.nofailfile", "true")
	if checks != "" {
		setDefault("rapid.checks", checks)
	}
	return m.Run()
}

func setDefault(name, value string) {
	if f := flag.Lookup(name); f.Value.String() == f.DefValue {
		_ = flag.Set(name, value)
	}
}
