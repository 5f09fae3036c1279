package entry

import "sync/atomic"

// maxIdleWorkers limits the number of goroutines that wait for a sub-request.
const maxIdleWorkers = 256

// workers is a pool of goroutines that send sub-requests. It grows when all of
// them are busy, because a worker may be waiting for a leaf that no longer
// responds. It keeps some of them idle, because a reused goroutine has a stack
// of sufficient size already. The capacity that targets grant limits the number
// of busy workers.
type workers struct {
	tasks chan *subRequest
	idle  atomic.Int64
}

func newWorkers() *workers {
	return &workers{tasks: make(chan *subRequest)}
}

// submit passes a sub-request to an idle worker, or to a new one if none is
// idle.
func (w *workers) submit(task *subRequest) {
	select {
	case w.tasks <- task:
	default:
		go (&worker{pool: w}).run(task)
	}
}

// worker is one goroutine of the pool.
type worker struct {
	pool *workers
}

// run sends sub-requests. It returns after one of them if maxIdleWorkers other
// workers are idle.
func (w *worker) run(task *subRequest) {
	for {
		task.execute()
		if w.pool.idle.Add(1) > maxIdleWorkers {
			w.pool.idle.Add(-1)
			return
		}
		task = <-w.pool.tasks
		w.pool.idle.Add(-1)
	}
}
