package load

// Hidrantis returns a workload of short look-ups of hydrants by dispatchers, most of
// them in few contexts, and of some longer reports.
func Hidrantis(model string, tenants []Tenant) Workload {
	return Workload{
		Name: "hidrantis", Workspaces: tenants, Model: model,
		LevelWords: [3]int{120, 160, 60}, Groups: 12, Records: 200,
		UrgentShare: 0.7, LookupTokens: 12, DraftTokens: 40,
	}
}

// Kovacsne returns a workload of drafts over long training records, and of some
// short checks.
func Kovacsne(model string, tenants []Tenant) Workload {
	return Workload{
		Name: "kovacsne", Workspaces: tenants, Model: model,
		LevelWords: [3]int{100, 120, 300}, Groups: 10, Records: 60,
		UrgentShare: 0.3, LookupTokens: 8, DraftTokens: 80,
	}
}
