package leader

import (
	"time"

	"lilaclead/internal/wire"
)

// imageCache is what the reports imply of a machine's images: an image is
// there once a task of it got past its fetch, until later ones push it out.
type imageCache struct {
	images map[wire.ImageID]cachedImage
}

type cachedImage struct {
	sizeGB float64
	usedAt time.Time
}

func (c *imageCache) touch(id wire.ImageID, gb, room float64, now time.Time) {
	if c.images == nil {
		c.images = map[wire.ImageID]cachedImage{}
	}
	c.images[id] = cachedImage{gb, now}
	for room > 0 {
		sum, oldest := 0.0, id
		for k, i := range c.images {
			sum += i.sizeGB
			if i.usedAt.Before(c.images[oldest].usedAt) {
				oldest = k
			}
		}
		if sum <= room || oldest == id {
			return
		}
		delete(c.images, oldest)
	}
}
