// Package cli implements the commands of the tamarackswitch binary. A command
// that fails exits with the status of its result code.
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

// Main runs the command given by args and returns the exit status. An error
// without a result code, such as an unknown flag, is reported as a usage error.
func Main(args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var resultErr *result.Error
	if !stderrors.As(err, &resultErr) {
		resultErr = result.New(result.Usage, "%v", err)
	}
	fmt.Fprintln(stderr, "tamarackswitch:", resultErr.Error())
	return resultErr.Code.ExitStatus()
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

// terminationSignals returns a channel that receives SIGINT and SIGTERM.
func terminationSignals() chan os.Signal {
	c := make(chan os.Signal, 2)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	return c
}

// newLogger returns a logger that writes JSON lines to w.
func newLogger(w io.Writer, level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), TimeFormat: log.TimeFormatUnixMs, Writer: log.IOWriter{Writer: w}}
}
