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

// has tells whether an image is taken to be there.
func (c *imageCache) has(id wire.ImageID) bool {
	_, ok := c.images[id]
	return ok
}

// touch notes that an image was used, in a cache of so much room (0: unknown), and
// drops the least recently used ones that no longer fit.
func (c *imageCache) touch(id wire.ImageID, gb, room float64, now time.Time) {
	if c.images == nil {
		c.images = map[wire.ImageID]cachedImage{}
	}
	c.images[id] = cachedImage{gb, now}
	for room > 0 {
		used, oldest := 0.0, id
		for k, i := range c.images {
			used += i.sizeGB
			if i.usedAt.Before(c.images[oldest].usedAt) {
				oldest = k
			}
		}
		if used <= room || oldest == id {
			return
		}
		delete(c.images, oldest)
	}
}
