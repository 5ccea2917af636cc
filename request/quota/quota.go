// Package quota limits what each workspace uses to its quota, over all nodes
// together, without a central store and without agreement between nodes.
//
// A quota is a rate and a burst. As time passes, each node earns its share of all
// rates as node time: a second of it is worth a second of a rate divided by the
// number of nodes. A node hands its node time over to an allocator, one node that
// all choose alike, which admits requests of all nodes for the node time that it
// has received. Node time is spent once, or lapses. So nodes that are partitioned,
// stop, die or restart can't admit more than a quota between them: node time that
// no allocator receives is lost and not given twice.
//
// Decisions take the present time, by the boot clock.
package quota
