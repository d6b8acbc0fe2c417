#!/usr/bin/env node
// npm links only programs that exist at installation, which comes before the first build.
import '../dist/main.js';
