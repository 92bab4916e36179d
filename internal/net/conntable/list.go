package conntable

// The methods of an entry that serves as the sentinel of a circular list.

// makeEmpty initializes the list without entries.
func (sentinel *Entry) makeEmpty() { sentinel.prev, sentinel.next = sentinel, sentinel }

// append adds an entry at the end of the list.
func (sentinel *Entry) append(e *Entry) {
	e.next, e.prev = sentinel, sentinel.prev
	sentinel.prev.next = e
	sentinel.prev = e
}

// each calls visit for each entry; visit may remove the entry that it is given.
func (sentinel *Entry) each(visit func(*Entry)) {
	for e := sentinel.next; e != sentinel; {
		next := e.next
		visit(e)
		e = next
	}
}
