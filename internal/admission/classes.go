package admission

// classQueues holds the waiting requests of a team by class, the oldest first in each. Classes share the team's slot time by
// the shares of their requests, with start-time fair queueing: a burst of one class doesn't delay the others, and none of them
// starves.
type classQueues struct {
	byClass     map[int]*classQueue
	virtualTime float64 // highest virtual time of a class at a grant, s
	waiting     int
}

type classQueue struct {
	virtualTime float64 // s of slot time divided by share
	share       float64 // of the last request
	requests    []*queuedRequest
}

func (c *classQueues) add(qr *queuedRequest) {
	class := c.byClass[qr.req.Class]
	if class == nil {
		if c.byClass == nil {
			c.byClass = map[int]*classQueue{}
		}
		class = &classQueue{}
		c.byClass[qr.req.Class] = class
	}
	if len(class.requests) == 0 {
		class.virtualTime = max(class.virtualTime, c.virtualTime) // no credit for idle time
	}
	class.share = qr.req.Share
	class.requests = append(class.requests, qr)
	c.waiting++
}

// head returns the next request, or nil. With FIFO it is the oldest one of all classes.
func (c *classQueues) head(policy Policy) *queuedRequest {
	var best *classQueue
	for _, class := range c.byClass {
		if len(class.requests) > 0 && (best == nil || class.servedBefore(best, policy)) {
			best = class
		}
	}
	if best == nil {
		return nil
	}
	return best.requests[0]
}

func (c *classQueue) servedBefore(other *classQueue, policy Policy) bool {
	if policy == Fair && c.virtualTime != other.virtualTime {
		return c.virtualTime < other.virtualTime
	}
	return c.requests[0].arrival < other.requests[0].arrival
}

// remove removes a waiting request.
func (c *classQueues) remove(qr *queuedRequest) {
	class := c.byClass[qr.req.Class]
	for i, other := range class.requests {
		if other == qr {
			class.requests = append(class.requests[:i], class.requests[i+1:]...)
			c.waiting--
			return
		}
	}
}

// charge adds slot time to a class, in s.
func (c *classQueues) charge(qr *queuedRequest, slotTime float64) {
	class := c.byClass[qr.req.Class]
	c.virtualTime = max(c.virtualTime, class.virtualTime)
	class.virtualTime += slotTime / qr.req.Share
}

// ahead returns the number of waiting requests that are served before a new one of a class.
func (c *classQueues) ahead(number int, share float64) float64 {
	own, shares := 0, share
	for n, class := range c.byClass {
		if n == number {
			own = len(class.requests)
		} else if len(class.requests) > 0 {
			shares += class.share
		}
	}
	return min(float64(own)*shares/share, float64(c.waiting))
}
