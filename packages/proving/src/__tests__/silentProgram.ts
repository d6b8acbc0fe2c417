// Stands in for a daemon that runs but never becomes ready.
setInterval(() => {}, 1_000);
