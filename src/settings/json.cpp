#include <boost/json/src.hpp>  // the library's implementation, compiled once here
