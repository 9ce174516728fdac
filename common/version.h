#pragma once

#define GSPAN_VERSION "0.1.0"
