// Package quota keeps what each workspace uses within its quota, over all nodes
// together, without a central store and without agreement between nodes.
//
// A quota is a rate and a burst. Each node earns its part of all rates as time goes by,
// as node time: a second of it is worth a second of a rate divided by the number of
// nodes. It hands that over to an allocator, one node that all choose alike, which lets
// requests of all nodes in by what it got. What is earned is spent once, or lapses.
// So nodes that are parted from each other, stand still, die or start anew can't let in
// more than a quota between them: what nobody hears of is lost, not given twice.
//
// Decisions take the present time, by the boot clock.
package quota
