// Command tamarackswitch runs an entry host and the tools around it.
package main

import (
	"os"

	"github.com/tamarackswitch/tamarackswitch/pkg/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
