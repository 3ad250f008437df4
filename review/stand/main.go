// Command stand plays the cases of the review that are scripts: it starts entry
// hosts as separate processes on loopback addresses, with stand-ins of the
// platform's store, of backend servers, callers and log collectors.
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case
// could not run. With TROUBLE=0 the case runs without its disruption.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"stalled-collector": stalledCollector,
	"second-term":       secondTerm,
	"leaving-server":    leavingServer,
	"graceful-stop":     gracefulStop,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	if os.Args[1] == "collect" {
		if err := collect(os.Args[2]); err != nil {
			os.Exit(2)
		}
		return
	}
	play := cases[os.Args[1]]
	rec, err := newRecord(os.Args[2])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or record that cannot be written:", err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := play(rec, trouble)
	switch {
	case err != nil:
		rec.result("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		rec.result("BROKEN")
		os.Exit(1)
	}
	rec.result("HELD")
}
