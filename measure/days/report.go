// Package days plays recorded loads of whole deployments against this program with
// several seeds, and sums up the reports of the plays. A single play says little: any
// change of timing moves its result by a few hundredths.
package days

import (
	"encoding/json"
	"fmt"
	"os"
)

// Report is the outcome of one play, in shares of the users' worth.
type Report struct {
	Day  string
	Seed uint64

	Worth        float64            // after deduction of the prices
	Served       float64            // of the requests owed
	Refused      float64            // of the requests owed
	Failed       float64            // of the requests owed
	Late         float64            // of the requests owed
	WorstWindows float64            // share served in the two worst spans of time
	Prices       map[string]float64 // worth deducted, by name of the price
	BrokenRules  []string           // names of the broken rules, and the fault of the play if there was one
}

// Names of the prices in a report, in the order of the table.
const (
	priceReread     = "1,000 tokens of shared parts read again"
	priceOutdated   = "worth made on weights that had been replaced"
	priceConnection = "new connections to servers"
	priceBehind     = "worth put behind what is less urgent"
	priceReturned   = "worth refused again"
	priceLoads      = "loads of weights"
)

// wireReport is the JSON form of a play's report. Each part is an array of name,
// weight and share, and each price an array of name, amount and worth.
type wireReport struct {
	Worth   float64        `json:"G"`
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Fault   *string        `json:"fault"`
	Parts   []wireRow      `json:"parts"`
	Prices  []wireRow      `json:"prices"`
	Breaks  map[string]any `json:"breaks"`
	All     struct {
		Asked  float64 `json:"n"`
		Late   float64 `json:"late"`
		Unowed float64 `json:"not_owed"`
	} `json:"all"`
}

type wireRow struct {
	Name string
	Mid  float64 // weight of a part, amount of a price
	Last float64 // share of a part, worth of a price
}

// UnmarshalJSON reads a row from an array of its three values.
func (r *wireRow) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&r.Name, &r.Mid, &r.Last})
}

const partWindows = "worst windows"

// ReadReport reads the report of one play from a file.
func ReadReport(path string) (Report, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Report{}, fmt.Errorf("read report: %w", err)
	}
	var w wireReport
	if err := json.Unmarshal(b, &w); err != nil {
		return Report{}, fmt.Errorf("parse report %s: %w", path, err)
	}
	r := Report{Worth: w.Worth, Served: w.Served, Refused: w.Refused, Failed: w.Failed, Prices: map[string]float64{}}
	if owed := w.All.Asked - w.All.Unowed; owed > 0 {
		r.Late = w.All.Late / owed
	}
	for _, p := range w.Parts {
		if p.Name == partWindows {
			r.WorstWindows = p.Last
		}
	}
	for _, p := range w.Prices {
		r.Prices[p.Name] = p.Last
	}
	for name := range w.Breaks {
		r.BrokenRules = append(r.BrokenRules, name)
	}
	if w.Fault != nil {
		r.BrokenRules = append(r.BrokenRules, *w.Fault)
	}
	return r, nil
}
