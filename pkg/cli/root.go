// Package cli holds the commands of the tamarackswitch binary. Every command
// exits with the status of its result code.
package cli

import (
	stderrors "errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var known *result.Error
	if !stderrors.As(err, &known) {
		known = result.New(result.Usage, "%v", err)
	}
	fmt.Fprintln(stderr, "tamarackswitch:", known.Error())
	return known.Code.ExitStatus()
}

func newRoot(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "tamarackswitch",
		Short:         "Global traffic steering between callers and backend servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.AddCommand(
		entryCommand(), steerCommand(), checkCommand(), platformCommand(), backendCommand(), lookupCommand(), callCommand(),
		demoCommand(), measureCommand(), getCommand(), applyCommand(), diffCommand(), historyCommand(), statusCommand(), dumpCommand(),
	)
	return root
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// signals returns a channel that receives SIGINT and SIGTERM.
func signals() chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	return c
}

// newLogger returns a JSON-lines logger on w.
func newLogger(w io.Writer, level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), TimeFormat: log.TimeFormatUnixMs, Writer: log.IOWriter{Writer: w}}
}
