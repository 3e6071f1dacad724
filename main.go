// Command hornbeammast manages the capacity and the maintenance of a fleet.
package main

import (
	"os"

	"github.com/hornbeammast/hornbeammast/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
