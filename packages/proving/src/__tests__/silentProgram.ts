// A program that runs and serves nothing.
setInterval(() => {}, 1_000);
