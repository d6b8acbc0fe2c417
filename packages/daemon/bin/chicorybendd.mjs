#!/usr/bin/env node
// npm links only programs that exist at install time, which is before the first build. So this file is
// committed, and loads the built program.
import '../dist/main.js';
