package limits

// FairQueue queues items of several tenants and serves the tenants by deficit round robin (Shreedhar and
// Varghese, 1995). Over a long interval in which all of them have items queued, each is served in
// proportion to its weight, measured by the cost of its items, and none waits for more than one round
// of the others. T is the type of the queued values.
type FairQueue[T any] struct {
	quantum      int64
	queues       map[string]*tenantQueue[T] // by tenant
	round        []*tenantQueue[T]          // the queues that are not empty, in the order of service; the first is served
	quantumAdded bool                       // the first queue has received its quantum of this round
	size         int
}

// tenantQueue has the queued items of one tenant.
type tenantQueue[T any] struct {
	tenant  string
	weight  int64
	deficit int64 // the cost that the tenant may still use in its turn
	items   []item[T]
}

type item[T any] struct {
	cost  int64
	value T
}

// NewFairQueue returns an empty queue. quantum is the cost that a tenant of weight 1 may use in a round,
// usually the typical cost of one item.
func NewFairQueue[T any](quantum int64) *FairQueue[T] {
	return &FairQueue[T]{quantum: max(1, quantum), queues: map[string]*tenantQueue[T]{}}
}

// SetWeight sets a tenant's weight, from 1 to MaxBurst. The default is 1.
func (f *FairQueue[T]) SetWeight(tenant string, weight int64) {
	f.tenantQueue(tenant).weight = clamp(weight, MaxBurst)
}

// tenantQueue returns the queue of a tenant and adds it if needed.
func (f *FairQueue[T]) tenantQueue(tenant string) *tenantQueue[T] {
	queue := f.queues[tenant]
	if queue == nil {
		queue = &tenantQueue[T]{tenant: tenant, weight: 1}
		f.queues[tenant] = queue
	}
	return queue
}

// Add appends a value to the queue of its tenant.
func (f *FairQueue[T]) Add(tenant string, cost int64, value T) {
	queue := f.tenantQueue(tenant)
	if queue.items = append(queue.items, item[T]{max(1, cost), value}); len(queue.items) == 1 {
		queue.deficit = 0 // an empty queue accumulates no deficit
		f.round = append(f.round, queue)
	}
	f.size++
}

// Len returns the number of queued values.
func (f *FairQueue[T]) Len() int { return f.size }

// Next removes and returns the value to be served next, among the tenants for whose first value eligible
// returns true; ok is false if there is none.
func (f *FairQueue[T]) Next(eligible func(tenant string, value T) bool) (tenant string, value T, ok bool) {
	skipped := 0 // tenants in a row that are not eligible
	for len(f.round) > skipped {
		first := f.round[0]
		head := first.items[0]
		if !eligible(first.tenant, head.value) {
			skipped++
			f.rotate()
			continue
		}
		if !f.quantumAdded {
			first.deficit += f.quantum * first.weight
			f.quantumAdded = true
		}
		if head.cost > first.deficit {
			skipped = 0
			f.rotate()
			continue
		}
		f.serve(first, head.cost)
		return first.tenant, head.value, true
	}
	return "", value, false
}

// serve removes the head of the first queue and charges its cost.
func (f *FairQueue[T]) serve(first *tenantQueue[T], cost int64) {
	first.deficit -= cost
	f.size--
	if first.items = first.items[1:]; len(first.items) == 0 {
		first.items, first.deficit = nil, 0
		f.round, f.quantumAdded = f.round[1:], false
	}
}

// rotate moves the first queue to the end of the round.
func (f *FairQueue[T]) rotate() {
	f.round = append(f.round[1:], f.round[0])
	f.quantumAdded = false
}
