package replicator

import "slices"

// log is the part of the replicated log that the model holds in memory: the
// snapshot and all entries after it.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

// lastIndex returns the index of the last entry, or that of the snapshot if
// there is none after it.
func (l *log) lastIndex() Index {
	return l.snapshot.Index + Index(len(l.entries))
}

func (l *log) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at an index. It is unknown if the entry was
// compacted or does not exist yet.
func (l *log) term(index Index) (Term, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// slice returns a copy of the entries after one index, up to and including
// another.
func (l *log) slice(after, upto Index) []Entry {
	if upto <= after {
		return nil
	}
	return slices.Clone(l.entries[after-l.snapshot.Index : upto-l.snapshot.Index])
}

// truncateAndAppend replaces all entries from the index of the first new one on.
func (l *log) truncateAndAppend(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.snapshot.Index - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact drops the entries that a snapshot covers. It drops the whole log if
// the entry at the snapshot's index is missing or has another term.
func (l *log) compact(snapshot Snapshot) {
	if snapshot.Index <= l.snapshot.Index {
		return
	}
	term, known := l.term(snapshot.Index)
	if !known || term != snapshot.Term {
		l.entries = nil
	} else {
		l.entries = slices.Clone(l.entries[snapshot.Index-l.snapshot.Index:])
	}
	l.snapshot = snapshot
}

// members returns the newest members in the log, committed or not, and the index
// of the entry or snapshot that holds them.
func (l *log) members() ([]Member, Index) {
	for _, entry := range slices.Backward(l.entries) {
		if entry.Kind == KindMembers {
			return entry.Members, entry.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt returns the members as of an index that is not compacted.
func (l *log) membersAt(index Index) []Member {
	members := l.snapshot.Members
	for _, entry := range l.entries {
		if entry.Index > index {
			break
		}
		if entry.Kind == KindMembers {
			members = entry.Members
		}
	}
	return members
}
