package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/result-codes.md")

const pagePath = "../../docs/result-codes.md"

// Guards against a page that lacks a code or describes it differently.
func TestPageListsEveryCode(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery refusal carries a code and a run state (`not-run`, `unknown` or `run`). Numbers keep their meaning across releases. Commands exit with the status of the code.\n\n")
	b.WriteString("| code | name | HTTP status | exit status | meaning |\n|---|---|---|---|---|\n")
	for _, i := range All() {
		fmt.Fprintf(&b, "| %d | %s | %d | %d | %s |\n", i.Code, i.Name, i.HTTP, i.Exit, i.Meaning)
	}
	if *update {
		require.NoError(t, os.WriteFile(pagePath, []byte(b.String()), 0o644))
	}
	text, err := os.ReadFile(pagePath)
	require.NoError(t, err)
	require.Equal(t, b.String(), string(text))
}

// Guards against two codes with one number or name, or out of order.
func TestCodesAreUnique(t *testing.T) {
	names := map[string]bool{}
	last := Code(-1)
	for _, i := range All() {
		require.Greater(t, i.Code, last)
		require.False(t, names[i.Name], i.Name)
		names[i.Name], last = true, i.Code
	}
}

// Guards against a request that is called not-run because its last attempt was
// not run, although an earlier one may have been.
func TestLessCertain(t *testing.T) {
	require.Equal(t, Unknown, MergeRunStates(Unknown, NotRun))
	require.Equal(t, Unknown, MergeRunStates(NotRun, Unknown))
	require.Equal(t, Run, MergeRunStates(Unknown, Run))
	require.Equal(t, NotRun, MergeRunStates(NotRun, NotRun))
}
