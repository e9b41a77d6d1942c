package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// imageCache is what the reports imply of a machine's images: an image is
// there once a task of it got past its fetch, until later ones push it out.
type imageCache struct {
	has map[wire.ImageID]image
}

type image struct {
	gb float64
	at time.Time
}

func (c *imageCache) touch(id wire.ImageID, gb, room float64, now time.Time) {
	if c.has == nil {
		c.has = map[wire.ImageID]image{}
	}
	c.has[id] = image{gb, now}
	for room > 0 {
		sum, oldest := 0.0, id
		for k, i := range c.has {
			sum += i.gb
			if i.at.Before(c.has[oldest].at) {
				oldest = k
			}
		}
		if sum <= room || oldest == id {
			return
		}
		delete(c.has, oldest)
	}
}
