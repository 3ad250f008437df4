package cli

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/demo"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
)

func demoCommand() *cobra.Command {
	var duration time.Duration
	var asJSON, verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole system in one process under load, with edits and failures",
		Long:  "Run the platform stand-in, backend stand-ins and eight entry hosts in two regions on loopback, generate load in all three ranks, edit a table, drain a server, kill and restart an entry host, shut another one down, and check the invariants.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			signals := terminationSignals()
			go func() { <-signals; cancel() }()
			o := demo.Options{For: duration}
			if !asJSON {
				o.Progress = cmd.OutOrStdout()
			}
			if verbose {
				o.Log = cmd.ErrOrStderr()
			}
			return runDemo(ctx, o, asJSON, cmd.OutOrStdout())
		},
	}
	c.Flags().DurationVar(&duration, "for", demo.DefaultDuration, "duration of the load, at least 10s")
	c.Flags().BoolVar(&asJSON, "json", false, "print the summary as JSON")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the log of all entry hosts on standard error")
	return c
}

func runDemo(ctx context.Context, o demo.Options, asJSON bool, out io.Writer) error {
	s, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		if err := writeJSON(out, s); err != nil {
			return err
		}
	} else {
		s.Write(out)
	}
	if !s.OK {
		return result.New(result.InvariantBroken, "%d violations", len(s.Violations))
	}
	return nil
}
