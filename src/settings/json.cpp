#include <boost/json/src.hpp>  // the library's own code, compiled once here
