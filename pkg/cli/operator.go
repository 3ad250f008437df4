package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize/english"
	"github.com/spf13/cobra"

	"github.com/tamarackswitch/tamarackswitch/pkg/admin"
	"github.com/tamarackswitch/tamarackswitch/pkg/api"
	"github.com/tamarackswitch/tamarackswitch/pkg/result"
	"github.com/tamarackswitch/tamarackswitch/pkg/tables"
)

// tokenVariable is the environment variable that holds the bearer token. Unlike
// the --token flag, it keeps the token out of the process list.
const tokenVariable = "TAMARACKSWITCH_TOKEN"

// adminTimeout bounds one call of the administration API.
const adminTimeout = 15 * time.Second

// adminFlags holds the flags of the commands that use the administration API.
type adminFlags struct{ address, token string }

func (f *adminFlags) register(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "admin", "127.0.0.1:7002", "administration listener of an entry host, IP:port")
	c.Flags().StringVar(&f.token, "token", "", "bearer token; default is the environment variable "+tokenVariable)
}

// bearerToken returns the token of the flag or else of the environment. The
// variable is not the default of the flag, because --help prints defaults.
func (f *adminFlags) bearerToken() string {
	if f.token != "" {
		return f.token
	}
	return os.Getenv(tokenVariable)
}

// call sends one request to the administration API and decodes the JSON answer
// into dst. A dst of type *[]byte gets the body as it is.
func (f *adminFlags) call(ctx context.Context, method, path string, query url.Values, body []byte, dst any) error {
	if _, err := netip.ParseAddrPort(f.address); err != nil {
		return result.New(result.Usage, "--admin: %q is not an IP number and port", f.address)
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: f.address, Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return result.New(result.Usage, "--admin: %v", err)
	}
	if token := f.bearerToken(); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result.Wrap(err, result.HostUnreachable, "administration API at %s", f.address)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return result.Wrap(err, result.HostUnreachable, "administration API at %s", f.address)
	}
	if resp.StatusCode != http.StatusOK {
		return errorFromBody(resp.StatusCode, text)
	}
	if raw, ok := dst.(*[]byte); ok {
		*raw = text
		return nil
	}
	if err := json.Unmarshal(text, dst); err != nil {
		return result.Wrap(err, result.BadAnswer, "administration API at %s", f.address)
	}
	return nil
}

// conflictError is the error of an edit whose version is out of date.
type conflictError struct {
	cause *result.Error
	// current contains the current version and text of the table.
	current admin.ErrorBody
}

func (e conflictError) Error() string { return e.cause.Error() }

func (e conflictError) Unwrap() error { return e.cause }

// errorFromBody returns the error for an answer with a status other than 200.
func errorFromBody(status int, text []byte) error {
	var body admin.ErrorBody
	if err := json.Unmarshal(text, &body); err != nil || body.Code == 0 {
		return result.New(result.BadAnswer, "administration API answered status %d: %.200s", status, text)
	}
	e := result.New(body.Code, "%s", body.Message).WithRun(body.Run)
	if body.Code == result.VersionConflict {
		return conflictError{e, body}
	}
	return e
}

// tableArgs accepts exactly one argument, the name of a table.
var tableArgs = cobra.MatchAll(cobra.ExactArgs(1), func(_ *cobra.Command, args []string) error {
	return checkTableName(args[0])
})

func checkTableName(name string) error {
	if name != tables.RoutesName && name != tables.PoolsName {
		return result.New(result.TableNotFound, "%q is not one of the tables routes, pools", name)
	}
	return nil
}

func (f *adminFlags) get(ctx context.Context, table string) (admin.Table, error) {
	var t admin.Table
	err := f.call(ctx, http.MethodGet, "/v1/tables/"+table, nil, nil, &t)
	return t, err
}

// versionPrefix starts the first line of the output of get. apply reads from
// that line which version of the table the edit is based on.
const versionPrefix = "# version "

func getCommand() *cobra.Command {
	var f adminFlags
	c := &cobra.Command{
		Use:   "get routes|pools",
		Short: "Print a table as TOML, with its version in the first line",
		Args:  tableArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.get(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s%d\n%s", versionPrefix, t.Version, t.Text)
			return err
		},
	}
	f.register(c)
	return c
}

// splitVersion splits the version line off the text of a table. ok is false if
// the text has no valid version line.
func splitVersion(text string) (version int64, rest string, ok bool) {
	line, rest, _ := strings.Cut(text, "\n")
	digits, found := strings.CutPrefix(line, versionPrefix)
	if !found {
		return 0, text, false
	}
	version, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
	return version, rest, err == nil
}

// readTable returns the content of file, or standard input if file is "-".
func readTable(cmd *cobra.Command, file string) (string, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(cmd.InOrStdin())
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return "", result.New(result.BadRequest, "%v", err)
	}
	return string(text), nil
}

func applyCommand() *cobra.Command {
	var f adminFlags
	var file, why string
	var version int64
	var dryRun bool
	c := &cobra.Command{
		Use:   "apply routes|pools --file FILE --why REASON",
		Short: "Replace a table unless it has changed since it was read",
		Long:  "Replace a table if its version is still the one in the file's first line, as written by get, or the one of --if-version. A table that does not exist yet has version 0.",
		Args:  tableArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readTable(cmd, file)
			if err != nil {
				return err
			}
			readVersion, rest, ok := splitVersion(text)
			if cmd.Flags().Changed("if-version") {
				readVersion, ok = version, true
			}
			if !ok {
				return result.New(result.Usage, "%s has no line \"%sN\" and --if-version is not set", file, versionPrefix)
			}
			q := url.Values{"if_version": {strconv.FormatInt(readVersion, 10)}, "why": {why}, "dry_run": {strconv.FormatBool(dryRun)}}
			var out admin.Applied
			err = f.call(cmd.Context(), http.MethodPut, "/v1/tables/"+args[0], q, []byte(rest), &out)
			if conflict, isConflict := err.(conflictError); isConflict {
				fmt.Fprintf(cmd.ErrOrStderr(), "%s%d\n%s", versionPrefix, conflict.current.Version, conflict.current.Text)
			}
			if err != nil {
				return err
			}
			printChanges(cmd.OutOrStdout(), out.Changes)
			if out.DryRun {
				fmt.Fprintln(cmd.OutOrStdout(), "dry run: nothing was changed")
				return nil
			}
			fmt.Fprintf(cmd.OutOrStdout(), "version %d accepted\n", out.Version)
			return nil
		},
	}
	f.register(c)
	c.Flags().StringVar(&file, "file", "", "file with the new table; \"-\" is standard input")
	c.Flags().StringVar(&why, "why", "", "reason, kept in the history")
	c.Flags().Int64Var(&version, "if-version", 0, "version that the edit is based on; overrides the file's first line")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "check everything and change nothing")
	_ = c.MarkFlagRequired("file")
	_ = c.MarkFlagRequired("why")
	return c
}

func printChanges(w io.Writer, changes []tables.RowChange) {
	if len(changes) == 0 {
		fmt.Fprintln(w, "no row differs")
	}
	for _, change := range changes {
		fmt.Fprintln(w, change.String())
	}
}

func diffCommand() *cobra.Command {
	var f adminFlags
	var file string
	c := &cobra.Command{
		Use:   "diff routes|pools --file FILE",
		Short: "Show how a file differs from the table stored in the platform",
		Args:  tableArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readTable(cmd, file)
			if err != nil {
				return err
			}
			_, rest, _ := splitVersion(text)
			t, err := f.get(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			changes, err := admin.Diff(args[0], t.Text, rest)
			if err != nil {
				return err
			}
			printChanges(cmd.OutOrStdout(), changes)
			return nil
		},
	}
	f.register(c)
	c.Flags().StringVar(&file, "file", "", "file with a table; \"-\" is standard input")
	_ = c.MarkFlagRequired("file")
	return c
}

func historyCommand() *cobra.Command {
	var f adminFlags
	var version int64
	c := &cobra.Command{
		Use:   "history routes|pools",
		Short: "List who changed a table, when and why, or print an older version",
		Args:  tableArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/tables/" + args[0] + "/history"
			if version != 0 {
				var t admin.HistoryText
				if err := f.call(cmd.Context(), http.MethodGet, path+"/"+strconv.FormatInt(version, 10), nil, nil, &t); err != nil {
					return err
				}
				_, err := fmt.Fprint(cmd.OutOrStdout(), t.Text)
				return err
			}
			var records []admin.Record
			if err := f.call(cmd.Context(), http.MethodGet, path, nil, nil, &records); err != nil {
				return err
			}
			for _, r := range records {
				fmt.Fprintf(cmd.OutOrStdout(), "%d\t%s\t%s\t%s\n", r.Version, r.When.UTC().Format(time.RFC3339), r.Who, r.Why)
			}
			return nil
		},
	}
	f.register(c)
	c.Flags().Int64Var(&version, "version", 0, "print the text of this version")
	return c
}

func statusCommand() *cobra.Command {
	var f adminFlags
	var asJSON bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the hosts, table versions and headroom of every failure domain",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s api.Status
			if err := f.call(cmd.Context(), http.MethodGet, "/v1/status", nil, nil, &s); err != nil {
				return err
			}
			if asJSON {
				return writeJSON(cmd.OutOrStdout(), s)
			}
			printStatus(cmd.OutOrStdout(), s)
			return nil
		},
	}
	f.register(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func printStatus(w io.Writer, s api.Status) {
	fmt.Fprintf(w, "routes version %d, pools version %d, asked through %s\n", s.RoutesVersion, s.PoolsVersion, s.Asked)
	for _, d := range s.Domains {
		fmt.Fprintf(w, "\n%s (%s): %s\n", d.Domain, d.Region, english.Plural(len(d.Hosts), "host", ""))
		for _, h := range d.Hosts {
			state := ""
			if h.Leaving {
				state = ", leaving"
			}
			fmt.Fprintf(w, "  %s: routes %d, pools %d from %s, %s, %s%s\n", h.Name, h.RoutesVersion, h.PoolsVersion,
				h.Source, unconfirmedText(h.UnconfirmedMS), english.Plural(int(h.Requests), "request", ""), state)
			for _, p := range h.Problems {
				fmt.Fprintf(w, "    problem: %s version %d: %s\n", p.Table, p.Version, p.Error)
			}
		}
		for _, line := range []struct {
			label string
			names []string
		}{{"behind", d.Behind}, {"not reached", d.Unreachable}, {"draining servers", d.Draining}} {
			if len(line.names) > 0 {
				fmt.Fprintf(w, "  %s: %s\n", line.label, strings.Join(line.names, ", "))
			}
		}
		for _, pool := range sortedKeys(d.Headroom) {
			fmt.Fprintf(w, "  headroom of %s: %d free slots\n", pool, d.Headroom[pool])
		}
	}
}

// unconfirmedText describes how long ago the platform was last known to have no
// newer tables, in milliseconds; a negative ms means that it never was.
func unconfirmedText(ms int64) string {
	if ms < 0 {
		return "never confirmed"
	}
	return "unconfirmed for " + (time.Duration(ms) * time.Millisecond).String()
}

func dumpCommand() *cobra.Command {
	var f adminFlags
	c := &cobra.Command{
		Use:   "dump HOST",
		Short: "Print the whole state of one entry host as JSON",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var text []byte
			if err := f.call(cmd.Context(), http.MethodGet, "/v1/dump/"+args[0], nil, nil, &text); err != nil {
				return err
			}
			var out bytes.Buffer
			if err := json.Indent(&out, text, "", "  "); err != nil {
				return result.Wrap(err, result.BadAnswer, "state of host %s", args[0])
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), out.String())
			return err
		},
	}
	f.register(c)
	return c
}
