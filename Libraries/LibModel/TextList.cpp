#include "TextList.h"

#include <sstream>

namespace Model {

std::vector<std::string> listFromText(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto first = item.find_first_not_of(' ');
        if (first == std::string::npos)
            continue;
        items.push_back(item.substr(first, item.find_last_not_of(' ') - first + 1));
    }
    return items;
}

} // namespace Model
