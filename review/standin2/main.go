// Command standin2 plays the cases of review/ that are scripts: it starts gateway daemons as
// separate processes, with stand-ins for the platform's store, replicas and consumers, and
// checks one rule by what consumers and replicas see.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. trouble says whether the disruption takes place. It returns whether
// the rule was broken.
type scenario func(s *site, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"drain": playDrain,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD, in the root of the repository")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	}
	defer s.close()
	s.note("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](s, trouble)
	switch {
	case err != nil:
		s.note("could not be played: %v", err)
		fmt.Fprintln(os.Stderr, "standin2:", err)
		return exitNotRun
	case broken:
		s.note("the rule was broken")
		return exitBroken
	}
	s.note("the rule held")
	return exitHeld
}
