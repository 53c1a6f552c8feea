// Package galenawal stores the Raft state of one replica in a data directory:
// the replica's incarnation, its current term and vote, its log entries and its
// latest snapshot.
//
// The file "log" is a sequence of records. A record is a header and a CBOR
// payload with the term, the vote and any number of entries. Each record is
// written and synced before the next one is written. When records are replayed,
// an entry replaces all earlier entries with the same or a higher index.
//
// If the last record is damaged, Open treats it as a write that was never synced
// and drops it. Open copies the other records to a new file, since the sync of the
// last one may have failed. A damaged record that another record follows had been
// synced, so other replicas may rely on its vote or entries; Open then fails with
// galenahead.ErrCorrupt. Open cannot distinguish damage to a synced last record
// from a torn write.
//
// The files "snapshot" and "log" are replaced atomically: a temporary file is
// written and synced, then renamed, and then the directory is synced. The file
// "identity" is written last at the first start, so a directory with an identity
// but without a log has lost data. "snapshot" and "identity" contain one record
// each, with a payload of their own.
package galenawal
