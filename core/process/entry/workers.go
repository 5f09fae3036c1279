package entry

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for a sub-request.
const maxIdleWorkers = 256

// workers is a pool of goroutines that send sub-requests. It grows when all
// are busy, because a worker may wait for a leaf that has fallen silent, and
// keeps some idle, because a used stack need not grow again. The number of
// busy workers is bounded by the places that targets give out.
type workers struct {
	tasks chan *subRequest
	idle  atomic.Int64
}

func newWorkers() *workers {
	return &workers{tasks: make(chan *subRequest)}
}

// submit hands a sub-request to an idle worker or to a new one.
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

// run sends sub-requests until enough other workers are idle.
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
