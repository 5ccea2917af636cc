package capacity

import "fmt"

// Figure is one figure of the size to design for, with what carries it.
type Figure struct {
	Name    string
	Line    string
	Verdict string
}

const (
	fits    = "fits"
	notSeen = "not a cost of its own"
	// noBudget is for what the letter gives no figure for.
	noBudget = "no budget given"
)

// Figures gives a line for each figure of the size to design for.
func Figures(slopes Slopes) []Figure {
	s := &source{slopes: slopes}
	lines := Items(slopes)
	sum := Sum(lines, Control)
	return append(append(sizeFigures(s), rateFigures(s)...), append(budgetFigures(sum), failureFigures(s)...)...)
}

func sizeFigures(s *source) []Figure {
	return []Figure{
		{"360 nodes", fmt.Sprintf("%s a second of heartbeats, whose size is bounded; values of the data centre's nodes are %s s old in the middle, %s s for 99 in 100, and %s of them are held",
			bytesOf(s.at(memberBytes, Nodes)), number(s.at(valueAge, Nodes)), number(s.at(valueOldAge, Nodes)), percent(s.at(valueHeld, Nodes))),
			over(s.at(valueAge, Nodes)/summaryLife, "for placement summaries, which count for 5 s")},
		{"1,700 runners", fmt.Sprintf("%s of an engine's status; a node asks 4.7 engines and publishes 2 at a time; 243 runners of the own data centre known, 1,457 not", bytesOf(s.per(statusBytes))),
			over(Runners*s.per(statusBytes)/5/BudgetBytes, "to know all within 5 s")},
		{"14,000 accelerators", "a runner is one upstream, whatever it runs on; the configuration has its slots and rate", notSeen},
		{"170 M blocks", fmt.Sprintf("not kept: %s levels of each of %s groups of engines at 35 bytes; a belief for each block would take %s",
			number(policyEntries), number(groupsOfEngines), bytesOf(Blocks*s.per(policyTables))),
			over(Blocks*s.per(policyTables)/BudgetMemory, "for blocks; fits for levels, share of them not measured")},
		{"1,500 workspaces", fmt.Sprintf("%s of state, %s of limits, %s a snapshot", bytesOf(s.at(stateHeap, Workspaces)), bytesOf(s.at(limitHeap, Workspaces)), bytesOf(s.at(snapshotBytes, Workspaces))),
			over(s.at(limitBytes, Nodes)/BudgetBytes, "for the exchange of their limits")},
		{"5 models", fmt.Sprintf("a policy of %s for each model and provider", bytesOf(s.at(policyTables, policyEntries))), fits},
		{"3 regions", "not known to the code: a region is a set of data centres; the loss of a link is below", fits},
		{"7 data centres", fmt.Sprintf("56 readers of the journal; an owner for each engine within its own; %s log reads a second", number(s.at(journalReads, Nodes))), fits},
	}
}

// summaryLife is how long a summary of a node's traffic counts, in seconds.
const summaryLife = 5

func rateFigures(s *source) []Figure {
	return []Figure{
		{"7,600 requests/s", fmt.Sprintf("21 a node; %s of a core for answers without their tokens, %s a second of log lines",
			percent(NodeRequests*s.per(answerMicros)*micro), bytesOf(NodeRequests*s.per(logBytes))), fits + "; not budgeted"},
		{"3.4 M tokens/s", fmt.Sprintf("9,444 a node; %s us a token, %s of a core", number(s.per(tokenMicros)), percent(NodeTokens*s.per(tokenMicros)*micro)), fits + "; not budgeted"},
		{"first token within 1 s, 34 ms between tokens", fmt.Sprintf("%d streams open at a node, %s; a decision takes %s us", nodeInFlight,
			bytesOf(float64(nodeInFlight)*s.per(streamHeap)), number(s.at(placeProcessor, modelRunner))), "latency not measured here"},
		{"240,000 cache events/s", fmt.Sprintf("not read; %s a second and %s of a core to read all at one node, %s a second for the own engines",
			bytesOf(EventsPerSecond*s.per(eventBytes)), percent(EventsPerSecond*s.per(eventProcessor)*micro), bytesOf(EventsPerSecond/Nodes*s.per(eventBytes))),
			over(EventsPerSecond*s.per(eventBytes)/BudgetBytes, "to read all, "+factor(EventsPerSecond/Nodes*s.per(eventBytes)/BudgetBytes)+" for the own engines")},
		{"7,800 changes a day", fmt.Sprintf("%s appends a second with their confirmations; %s ms a change at a node", number(ChangesPerSecond*appendsPerChange),
			number((s.at(changeProcessor, Workspaces)+Runners*s.per(changeProcessorUp)+s.at(catalogueMicros, Runners)+configured(s))/1000)), fits},
		{"in force everywhere within 8 s", fmt.Sprintf("%s s by the log, %s s where peers are asked already; 5.5 s by the settings where the log has just gone",
			number(s.at(forceByLog, Nodes)), number(s.at(forceByPeers, Nodes))), fits},
	}
}

func budgetFigures(sum Cost) []Figure {
	return []Figure{
		{"2.4% of a core", percent(sum.Core) + " for all lines of control of a node in the mean", over(sum.Core/BudgetCore, "")},
		{"256 MB", fmt.Sprintf("%s live for the same, up to %s with garbage at Go's default; the program itself is not in it", bytesOf(sum.Memory), bytesOf(2*sum.Memory)),
			over(2*sum.Memory/BudgetMemory, "with garbage")},
		{"14 KB/s", bytesOf(sum.Bytes) + " a second for the same", over(sum.Bytes/BudgetBytes, "")},
		{"log: several hundred appends a second", number(sum.Appends) + " a second of all nodes, most of it the journal's, which keeps to its budget of 200", fits},
	}
}

func failureFigures(s *source) []Figure {
	known := func(name string) string { return number(s.at(name, Nodes)) + " s until all know it" }
	return []Figure{
		{"11 failures a day", "one in 2.2 hours; each is news of 60 bytes in the heartbeats that are sent anyway", fits},
		{"450 restarts or replacements a day", fmt.Sprintf("one in 192 s; a start reads %s of snapshot and up to %s of records",
			bytesOf(s.at(snapshotBytes, Workspaces)+Runners*s.per(snapshotBytesUp)), bytesOf(snapshotTail*s.at(changeRecord, 1))), fits},
		{"loss of a rack", known(rackSeconds) + "; a rack is taken for a third of a data centre", noBudget},
		{"loss of a data centre", known(centreSeconds) + "; heartbeats without values " + bytesOf(s.at(faultBytes, Nodes)) + " a second of a node", noBudget},
		{"loss of a region link", known(linkSeconds) + "; after its return " + number(s.at(healSeconds, Nodes)) +
			" s until all know each other; meanwhile each side gives out the workspaces' whole limits", noBudget},
	}
}

// over says by what factor something is over, if it is.
func over(f float64, what string) string {
	if f <= 1 {
		return fits
	}
	if what != "" {
		what = " " + what
	}
	return "over, " + factor(f) + what
}

func factor(f float64) string { return number(f) + " times" }

// bytesOf gives bytes in the unit that suits them.
func bytesOf(b float64) string {
	switch {
	case b < 1000:
		return number(b) + " B"
	case b < 1e6:
		return number(b/1e3) + " KB"
	case b < 1e9:
		return number(b/1e6) + " MB"
	}
	return number(b/1e9) + " GB"
}
