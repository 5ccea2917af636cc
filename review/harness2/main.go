// Command harness2 plays one case against processes of the project and exits with 1 if its rule was
// broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Results of a case.
const (
	held    = 0
	broken  = 1
	notPlay = 2
)

// cases are the cases by name. Each plays itself and returns its result.
var cases = map[string]func(w *world) (int, error){
	"late-heartbeat": lateHeartbeat,
	"odd-entry":      oddEntry,
	"slow-reader":    slowReader,
	"revoked-key":    revoked,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("harness2 CASE FOLDER")
		os.Exit(notPlay)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(f func(w *world) (int, error), folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return notPlay
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(record)
	if err != nil {
		fmt.Println(err)
		return notPlay
	}
	defer w.close()
	result, err := f(w)
	if err != nil {
		w.log("the case could not run: %v", err)
		return notPlay
	}
	w.log("result: %d", result)
	return result
}
