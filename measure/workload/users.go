package workload

import (
	"fmt"
	"time"

	"github.com/dunlinmill/dunlinmill/request/placement"
	"github.com/dunlinmill/dunlinmill/version/config"
)

// Size and speed of an engine, the same for both users.
const (
	engineSlots   = 32
	enginePrefill = 8000 // tokens a second
	engineDecode  = 20 * time.Millisecond
	engineCache   = 240_000 // tokens
)

// nodeCount is the number of entry VMs of each user.
const nodeCount = 8

// Users returns both deployments.
func Users() []User { return []User{Hidrantis(), Kovacsne()} }

// Hidrantis returns the register of hydrants: short urgent look-ups by dispatchers,
// most of them in Sofia's context, inspections in the field, and audits that read all
// records of whole utilities.
func Hidrantis() User {
	centres := []string{"Iskar", "Vitosha", "Lozenets", "Mladost"}
	return User{
		Name:        "Hidrantis",
		DataCentres: centres,
		Nodes:       nodeCount,
		Engines:     engines(centres, 12),
		CacheTokens: engineCache,
		ArrivalRate: 27,
		CalmLoad:    0.65,
		Weighing:    config.Weighing{Wait: 2, Recompute: 1},
		Kinds: []Kind{
			{
				Name: "Dispatch", Share: 0.50, Priority: 0, Deadline: 3 * time.Second, Urgent: true, HotShare: 0.5, RereadShare: 0.3,
				OutputTokens: Range{20, 60}, QueryTokens: Range{60, 160},
				recordTokens: Range{600, 2500}, recordSkew: 0.9, recordsPerContext: 150,
			},
			{
				Name: "Inspection", Share: 0.35, Priority: 1, Deadline: 10 * time.Second, HotShare: 0.15, RereadShare: 0.4,
				OutputTokens: Range{80, 220}, QueryTokens: Range{200, 600},
				recordTokens: Range{1000, 8000}, recordSkew: 0.8, recordsPerContext: 250,
			},
			{
				Name: "Audit", Share: 0.15, Priority: 3, Deadline: 30 * time.Second, Sweep: true,
				OutputTokens: Range{250, 500}, QueryTokens: Range{100, 300},
				recordTokens: Range{1000, 8000}, recordsPerContext: 250,
			},
		},
		workspaces: workspaces("Sofia", "Plovdiv", "Varna", "Burgas", "Ruse", "Pleven", "Sliven", "Dobrich"),
	}
}

// Kovacsne returns the deployment that keeps workers' training records: long records
// that are read again all morning, drafts with long answers, and short checks of one
// code at the gates, many of them against the same context.
func Kovacsne() User {
	centres := []string{"Budapest", "Kecskemet", "Szolnok"}
	return User{
		Name:        "Kovacsne",
		DataCentres: centres,
		Nodes:       nodeCount,
		Engines:     engines(centres, 10),
		CacheTokens: engineCache,
		ArrivalRate: 31,
		CalmLoad:    0.64,
		Weighing:    config.Weighing{Wait: 1, Recompute: 2},
		Burst:       Burst{From: 150 * time.Second, To: 270 * time.Second, Kind: "GateCheck", ExtraShare: 0.25},
		Kinds: []Kind{
			{
				Name: "Draft", Share: 0.40, Priority: 1, Deadline: 15 * time.Second, RereadShare: 0.75,
				OutputTokens: Range{250, 500}, QueryTokens: Range{150, 500},
				recordTokens: Range{3000, 8000}, recordSkew: 0.6, recordsPerContext: 400,
			},
			{
				Name: "GateCheck", Share: 0.45, Priority: 0, Deadline: 3 * time.Second, Urgent: true, HotShare: 0.6, RereadShare: 0.2,
				OutputTokens: Range{8, 24}, QueryTokens: Range{30, 90},
				recordTokens: Range{1000, 2000}, recordSkew: 1.0, recordsPerContext: 200,
			},
			{
				Name: "ExamResults", Share: 0.15, Priority: 2, Deadline: 15 * time.Second, RereadShare: 0.2,
				OutputTokens: Range{60, 160}, QueryTokens: Range{300, 1200},
				recordTokens: Range{1000, 5000}, recordSkew: 0.6, recordsPerContext: 400,
			},
		},
		workspaces: workspaces("Epito", "Vasbeton", "Hegeszto", "Daru", "Allvany", "Burkolo", "Acs", "Kazan"),
	}
}

// engines returns n engines, spread over the data centres.
func engines(centres []string, n int) []placement.Upstream {
	list := make([]placement.Upstream, n)
	for i := range list {
		list[i] = placement.Upstream{
			Name:           fmt.Sprintf("runner-%02d", i+1),
			DataCentre:     centres[i%len(centres)],
			Slots:          engineSlots,
			PrefillRate:    enginePrefill,
			DecodeInterval: engineDecode,
		}
	}
	return list
}

// workspaces returns eight workspaces, the first few of them large.
func workspaces(names ...string) []workspace {
	shares := []float64{0.32, 0.20, 0.15, 0.10, 0.08, 0.06, 0.05, 0.04}
	contexts := []int{14, 9, 7, 5, 4, 4, 3, 3}
	list := make([]workspace, len(names))
	for i, name := range names {
		list[i] = workspace{
			name:           name,
			share:          shares[i],
			contexts:       contexts[i],
			preambleTokens: Range{2000, 4000},
			contextTokens:  Range{2000, 6000},
		}
	}
	return list
}
