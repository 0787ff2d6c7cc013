package replicator

import "slices"

// log is the part of the entries that the model holds in memory: all after
// the snapshot.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *log) last() Index {
	return l.snapshot.Index + Index(len(l.entries))
}

func (l *log) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, if it is still known.
func (l *log) term(index Index) (Term, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	if index < l.snapshot.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

// slice returns the entries after one index up to another.
func (l *log) slice(after, upto Index) []Entry {
	if upto <= after {
		return nil
	}
	return slices.Clone(l.entries[after-l.snapshot.Index : upto-l.snapshot.Index])
}

// put replaces all entries from the index of the first.
func (l *log) put(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	keep := entries[0].Index - l.snapshot.Index - 1
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact drops the entries that a snapshot stands for.
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

// members returns the newest members in the log and the index they came with.
func (l *log) members() ([]Member, Index) {
	for _, entry := range slices.Backward(l.entries) {
		if entry.Kind == KindMembers {
			return entry.Members, entry.Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}

// membersAt returns the members as of an index that is still known.
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
