package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/client"
)

// callerFlags holds the flags of the commands that act as a caller.
type callerFlags struct {
	entryAddresses, route, clientAddress, group string
}

func (f *callerFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.entryAddresses, "entry", "127.0.0.1:7000", "addresses of entry hosts, separated by commas (IP:port)")
	c.Flags().StringVar(&f.route, "route", "", "name of the route; empty means any route")
	c.Flags().StringVar(&f.clientAddress, "client", "", "client address for the look-up; empty means the source address of the connection")
	c.Flags().StringVar(&f.group, "group", "", "caller group for fair queueing")
}

func (f *callerFlags) client() *client.Client {
	return client.New(client.Config{Seeds: strings.Split(f.entryAddresses, ","), ClientAddress: f.clientAddress, Group: f.group})
}

func lookupCommand() *cobra.Command {
	var f callerFlags
	c := &cobra.Command{
		Use:   "lookup",
		Short: "Ask which entry hosts to use",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			answer, err := f.client().Lookup(cmd.Context(), f.route)
			if err != nil {
				return err
			}
			return writeJSON(cmd.OutOrStdout(), answer)
		},
	}
	f.register(c)
	return c
}

func callCommand() *cobra.Command {
	var f callerFlags
	var r client.Request
	var body string
	c := &cobra.Command{
		Use:   "call PATH",
		Short: "Send one request through an entry host",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r.Path, r.Route, r.Body = args[0], f.route, []byte(body)
			r.Idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
			resp, err := f.client().Do(cmd.Context(), r)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "status %d, %d attempts, key %q\n", resp.Status, resp.Tries, resp.Key)
			_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSuffix(string(resp.Body), "\n"))
			return err
		},
	}
	f.register(c)
	c.Flags().StringVar(&r.Method, "method", http.MethodGet, "request method")
	c.Flags().StringVar(&body, "body", "", "request body")
	c.Flags().DurationVar(&r.Deadline, "deadline", 2*time.Second, "maximum time to wait for the answer")
	c.Flags().StringVar(&r.Key, "key", "", "idempotency key; \"new\" creates a key that the first entry host owns")
	return c
}

func writeJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(value)
}
