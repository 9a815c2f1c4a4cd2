// Package chain is a linked list whose nodes are parts of its values, so that adding one
// allocates nothing.
//
// # Usage
//
//	type job struct {
//		node chain.Node[*job]
//	}
//	var waiting chain.List[*job]
//	j.node.Value = j
//	waiting.PushBack(&j.node)
//	for n := waiting.Front(); n != nil; n = waiting.Next(n) {
//		// use n.Value
//	}
//	waiting.Remove(&j.node)
package chain

// Node is a place in at most one list.
type Node[T any] struct {
	Value T

	previous, next *Node[T]
}

// List is a list of nodes in the order in which they were added. The zero value is empty.
type List[T any] struct {
	first, last *Node[T]
}

// PushBack adds a node that is in no list.
func (l *List[T]) PushBack(n *Node[T]) {
	n.previous, n.next = l.last, nil
	if l.last == nil {
		l.first = n
	} else {
		l.last.next = n
	}
	l.last = n
}

// Remove removes a node that is in the list.
func (l *List[T]) Remove(n *Node[T]) {
	if n.previous == nil {
		l.first = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		l.last = n.previous
	} else {
		n.next.previous = n.previous
	}
	n.previous, n.next = nil, nil
}

// Front returns the first node, nil if the list is empty.
func (l *List[T]) Front() *Node[T] { return l.first }

// Next returns the node after another one of the list, nil after the last.
func (l *List[T]) Next(n *Node[T]) *Node[T] { return n.next }
