// Package galenawal keeps the files of one replica of the replicated log under
// one data directory: the replica's incarnation, its term and vote, its log
// entries and its latest snapshot.
//
// The file "log" is a sequence of records. A record is a header and a CBOR
// payload with the term, the vote and any number of entries; it is written and
// synced as a whole before the next one starts. An entry replaces all earlier
// entries with the same or a higher index.
//
// A damaged last record is a write that was not synced and is truncated. A
// damaged record with another one behind it was synced once, so its loss could
// break a promise to the other replicas; Open then fails with
// galenahead.ErrCorrupt. Damage to a synced last record cannot be told from a
// torn write.
//
// The files "snapshot" and "log" are replaced by writing and syncing a
// temporary file, renaming it and syncing the directory. The file "identity"
// is written last at the first start, so that a replica with an identity and
// without a log has lost data.
package galenawal
