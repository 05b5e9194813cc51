// Command standin plays one case of the review against gateway daemons that it starts as
// processes: it stands in for the platform, the replicas and the consumers.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"io"
	"os"
	"time"
)

// scenario is one case: it returns whether the rule was broken.
type scenario func(rec *recorder, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"bodies":  playBodies,
	"silent":  playSilent,
	"slashes": playSlashes,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &recorder{w: io.MultiWriter(file, os.Stdout), began: time.Now()}
	rec.line("%s, TROUBLE=%t", os.Args[1], trouble)
	broken, err := scenarios[os.Args[1]](rec, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		return 2
	case broken:
		rec.line("RULE BROKEN")
		return 1
	}
	rec.line("the rule held")
	return 0
}
