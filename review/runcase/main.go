// Command runcase plays a case of the review: runcase NUMBER FOLDER. It writes record.txt into the folder, and exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"weirwind/review/standin"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	argsCount = 3
)

var cases = map[string]func(record *standin.Record, trouble bool) (int, error){
	"3": staleAfterReadOnlyCommit,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != argsCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: runcase NUMBER FOLDER")
		return couldNot
	}
	record, err := standin.NewRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	code, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Log("the case couldn't run: %v", err)
		code = couldNot
	}
	record.Log("result: %d", code)
	if err := record.Close(); err != nil {
		return couldNot
	}
	fmt.Println("case", os.Args[1], "result", code)
	return code
}
